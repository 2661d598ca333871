import {expect} from 'chai';
import {AnnouncedLimit} from './index.js';

describe('AnnouncedLimit', () => {
	it('keeps the limit at the announced slots, however slow the requests are and although some fail', () => {
		const limit = new AnnouncedLimit({slots: 40, now: 0});
		for (let count = 0; count < 200; count++) {
			limit.finish({startedAt: 0, outcome: count % 3 === 0 ? 'failure' : 'success'}, 40, count * 50);
		}

		expect(limit.current(10_000)).to.equal(40);
	});

	it('lowers the limit after a refusal by the upstream and recovers to the slots', () => {
		const limit = new AnnouncedLimit({slots: 40, now: 0});
		limit.finish({startedAt: 0, outcome: 'refused'}, 40, 1000);
		expect(limit.current(1000)).to.equal(36);
		expect(limit.current(1500)).to.equal(40);
	});

	it('counts refusals in quick succession as one', () => {
		const limit = new AnnouncedLimit({slots: 40, now: 0});
		for (let count = 0; count < 10; count++) {
			limit.finish({startedAt: 0, outcome: 'refused'}, 40, 1000 + count);
		}

		expect(limit.current(1010)).to.equal(36);
	});

	it('follows a change of the announced slots', () => {
		const limit = new AnnouncedLimit({slots: 40, now: 0});
		limit.setSlots(20, 0);
		expect(limit.current(0)).to.equal(20);
	});
});
