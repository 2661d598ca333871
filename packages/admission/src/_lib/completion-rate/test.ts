import {expect} from 'chai';
import {CompletionRate} from './index.js';

describe('CompletionRate', () => {
	// Guards against a Retry-After that follows the speed of the past.
	it('follows a change of the rate within a second, and is 0 after a stall', () => {
		const rate = new CompletionRate(0);
		for (let now = 0; now < 3000; now += 10) {
			rate.record(now);
		}

		expect(rate.at(3000)).to.be.closeTo(0.1, 0.005);
		for (let now = 3000; now < 4000; now += 40) {
			rate.record(now);
		}

		expect(rate.at(4000)).to.be.closeTo(0.025, 0.003);
		expect(rate.at(5100)).to.equal(0);
	});

	// Guards against long delays at a gate that has just started.
	it('divides the first runs by the time since the start', () => {
		const rate = new CompletionRate(1000);
		for (let now = 1010; now <= 1100; now += 10) {
			rate.record(now);
		}

		expect(rate.at(1100)).to.be.closeTo(0.1, 0.001);
	});
});
