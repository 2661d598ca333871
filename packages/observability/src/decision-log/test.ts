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

	it('bounds the lines of a kind and counts what was left out', () => {
		const {lines, clock, log} = createLog();
		for (let count = 0; count < 100; count++) {
			log.record('refused', () => ({count}));
		}

		expect(lines).to.have.length(20);
		clock.now = 1000;
		log.record('refused', () => ({count: 100}));
		expect(lines.at(-1)).to.deep.equal({message: 'refused', fields: {count: 100, leftOut: 80}});
	});

	it('bounds each kind by itself and does not describe what it leaves out', () => {
		const {lines, log} = createLog();
		let described = 0;
		const describeOne = (): Fields => {
			described++;
			return {};
		};

		for (let count = 0; count < 50; count++) {
			log.record('refused', describeOne);
		}

		log.record('cut', () => ({}));
		expect(described).to.equal(20);
		expect(lines.at(-1)!.message).to.equal('cut');
	});
});
