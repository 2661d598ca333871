import {expect} from 'chai';
import {UsualDurations} from './index.js';

describe('UsualDurations', () => {
	// Guards against: the first, possibly untypical run of a class makes all later ones look slow.
	it('knows the mean of each class after a few runs', () => {
		const durations = new UsualDurations();
		for (let count = 0; count < 8; count++) {
			expect(durations.of(1)).to.equal(undefined);
			durations.record(1, 10 + count);
			durations.record(2, 500);
		}

		expect(durations.of(1)).to.equal(13.5);
		expect(durations.of(2)).to.equal(500);
	});

	// Guards against: other nodes, which state the classes, make the record grow without bound.
	it('drops the class whose last run is the longest ago when there are too many', () => {
		const durations = new UsualDurations();
		for (let workClass = 1; workClass <= 300; workClass++) {
			for (let count = 0; count < 8; count++) {
				durations.record(workClass, 10);
			}

			durations.record(0, 20);
		}

		expect(durations.of(0)).to.equal(20);
		expect(durations.of(300)).to.equal(10);
		expect(durations.of(1)).to.equal(undefined);
	});

	it('follows an upstream that changes for good', () => {
		const durations = new UsualDurations();
		for (let count = 0; count < 400; count++) {
			durations.record(0, count < 200 ? 100 : 20);
		}

		expect(durations.of(0)).to.be.closeTo(20, 2);
	});
});
