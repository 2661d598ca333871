import {expect} from 'chai';
import type {Fields} from '../index.js';
import {DecisionLog} from './index.js';

describe('DecisionLog', () => {
	const createLog = () => {
		const lines: Array<{message: string; fields: Fields}> = [];
		const clock = {now: 0};
		const log = new DecisionLog({
			logger: {
				info(message, fields = {}) {
					lines.push({message, fields});
				},
			},
			now: () => clock.now,
		});
		return {lines, clock, log};
	};

	it('limits the lines of a kind and counts those that were omitted', () => {
		const {lines, clock, log} = createLog();
		for (let count = 0; count < 100; count++) {
			log.record('refused', () => ({count}));
		}

		expect(lines).to.have.length(20);
		clock.now = 1000;
		log.record('refused', () => ({count: 100}));
		expect(lines.at(-1)).to.deep.equal({message: 'refused', fields: {count: 100, leftOut: 80}});
	});

	it('limits each kind separately and does not compute the fields of omitted lines', () => {
		const {lines, log} = createLog();
		let describeCalls = 0;
		const describeOne = (): Fields => {
			describeCalls++;
			return {};
		};

		for (let count = 0; count < 50; count++) {
			log.record('refused', describeOne);
		}

		log.record('cut', () => ({}));
		expect(describeCalls).to.equal(20);
		expect(lines.at(-1)!.message).to.equal('cut');
	});
});
