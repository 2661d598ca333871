import {expect} from 'chai';
import {AnnouncedLimit} from './index.js';

describe('AnnouncedLimit', () => {
	it('lets as many requests run as there are slots, however slow they are', () => {
		const limit = new AnnouncedLimit({slots: 40, now: 0});
		for (let count = 0; count < 200; count++) {
			limit.finish({startedAt: 0, outcome: count % 3 === 0 ? 'failure' : 'success'}, 40, count * 50);
		}

		expect(limit.current(10_000)).to.equal(40);
	});

	it('falls when the upstream refuses and comes back to the slots', () => {
		const limit = new AnnouncedLimit({slots: 40, now: 0});
		limit.finish({startedAt: 0, outcome: 'refused'}, 40, 1000);
		expect(limit.current(1000)).to.equal(36);
		expect(limit.current(1500)).to.equal(40);
	});

	it('counts refusals that come together as one', () => {
		const limit = new AnnouncedLimit({slots: 40, now: 0});
		for (let count = 0; count < 10; count++) {
			limit.finish({startedAt: 0, outcome: 'refused'}, 40, 1000 + count);
		}

		expect(limit.current(1010)).to.equal(36);
	});

	it('takes over other slots', () => {
		const limit = new AnnouncedLimit({slots: 40, now: 0});
		limit.setSlots(20, 0);
		expect(limit.current(0)).to.equal(20);
	});
});
