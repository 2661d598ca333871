import {SeededRandom} from '@fireflyglade/model';
import {expect} from 'chai';
import {spreadRetryDelay} from './index.js';

describe('spreadRetryDelay', () => {
	it('spreads callers that are refused together, and never exceeds a third of the time that they have left', () => {
		const random = new SeededRandom(1);
		const delays = Array.from({length: 100}, () => spreadRetryDelay(Number.POSITIVE_INFINITY, 3000, random));
		expect(Math.max(...delays)).to.be.within(950, 1000);
		expect(Math.min(...delays)).to.be.within(500, 550);
		expect(spreadRetryDelay(1, 3000, random)).to.equal(50);
		expect(spreadRetryDelay(1000, 90, random)).to.be.at.most(30);
	});
});
