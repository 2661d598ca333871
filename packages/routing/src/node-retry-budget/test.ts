import {expect} from 'chai';
import {NodeRetryBudget} from './index.js';

describe('NodeRetryBudget', () => {
	it('allows retries for a fifth of the first attempts', () => {
		const budget = new NodeRetryBudget();
		let retries = 0;
		for (let attempt = 0; attempt < 1000; attempt++) {
			budget.recordAttempt(attempt);
			retries += budget.takeRetry(attempt) ? 1 : 0;
		}

		expect(retries).to.equal(200);
	});

	it('allows some retries on a node without traffic, and drops counts older than ten seconds', () => {
		const budget = new NodeRetryBudget();
		const takeAll = (now: number): number => {
			let retries = 0;
			while (budget.takeRetry(now)) {
				retries++;
			}

			return retries;
		};

		expect(takeAll(0)).to.equal(10);
		expect(takeAll(9000)).to.equal(0);
		expect(takeAll(10_000)).to.equal(10);
	});
});
