import {expect} from 'chai';
import {UpstreamBounds} from './index.js';

const load = {
	running: 8, waiting: 0, slots: 12, pace: 2.5,
};

describe('UpstreamBounds', () => {
	it('takes the announced slots as a whole number, at least one', () => {
		for (const [slots, whole] of [[7.9, 7], [0, 1], [Number.NaN, 1]] as const) {
			const bounds = new UpstreamBounds({slots: 3, now: 0});
			bounds.setSlots(slots);
			expect([bounds.slots, bounds.usableSlots(0), new UpstreamBounds({slots, now: 0}).slots]).to.deep.equal([whole, whole, whole]);
		}
	});

	// Guards against: one of the two bounds hides the other one.
	it('uses the lower one of the reported slots and the slow start, and states both', () => {
		const bounds = new UpstreamBounds({slots: 40, now: 0, isCold: true});
		bounds.begin(8);
		bounds.observeLoad(load, 0);
		expect([bounds.usableSlots(0), bounds.pace(0), bounds.isStartingSlowly(0)]).to.deep.equal([10, 2.5, true]);
		expect(bounds.describe(0)).to.deep.equal({reportedLoad: load, slowStartLimit: 10});
		bounds.observeLoad(load, 10_000);
		expect([bounds.usableSlots(10_000), bounds.isStartingSlowly(10_000)]).to.deep.equal([12, false]);
		expect(bounds.describe(20_000)).to.deep.equal({});
	});

	it('compares a report with the requests that still run', () => {
		const bounds = new UpstreamBounds({slots: 40, now: 0});
		bounds.begin(40);
		bounds.observeLoad(load, 0);
		expect(bounds.pace(0)).to.equal(undefined);
		bounds.finish({startedAt: 0, outcome: 'success'}, 8, 0);
		bounds.observeLoad(load, 0);
		expect(bounds.pace(0)).to.equal(2.5);
	});
});
