import {expect} from 'chai';
import {getRemainingTime} from './index.js';

describe('getRemainingTime', () => {
	it('never exceeds the time until the deadline, and leaves time after the objective', () => {
		expect(getRemainingTime({objective: 300, deadline: 1000}, 100)).to.equal(200);
		expect(getRemainingTime({objective: 3000, deadline: 1000}, 100)).to.equal(900);
		expect(getRemainingTime({objective: 300, deadline: 1000}, 300)).to.equal(700);
		expect(getRemainingTime({deadline: 1000}, 100)).to.equal(900);
	});

	it('is finite for each objective, because a target has no score for infinite time', () => {
		expect(getRemainingTime({objective: 300}, 400)).to.equal(-100);
		expect(getRemainingTime({objective: 300, deadline: Number.POSITIVE_INFINITY}, 400)).to.equal(-100);
		expect(getRemainingTime({}, 400)).to.equal(Number.POSITIVE_INFINITY);
	});
});
