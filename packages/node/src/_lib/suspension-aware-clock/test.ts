import {expect} from 'chai';
import {SuspensionAwareClock} from './index.js';

describe('SuspensionAwareClock', () => {
	const createClock = () => {
		const times = {monotonic: 1000, wall: 500_000};
		const clock = new SuspensionAwareClock({now: () => times.monotonic, wallNow: () => times.wall});
		const advance = (monotonic: number, wall = monotonic) => {
			times.monotonic += monotonic;
			times.wall += wall;
		};

		return {clock, advance};
	};

	it('follows the monotonic clock', () => {
		const {clock, advance} = createClock();
		advance(5000);
		expect(clock.now()).to.equal(6000);
	});

	it('includes the time of a suspension', () => {
		const {clock, advance} = createClock();
		advance(10, 4010);
		expect(clock.now()).to.equal(5010);
		advance(100);
		expect(clock.now()).to.equal(5110);
	});

	it('includes a suspension after the wall clock was set back', () => {
		const {clock, advance} = createClock();
		advance(100, -3900);
		expect(clock.now()).to.equal(1100);
		advance(10, 4010);
		expect(clock.now()).to.equal(5110);
	});

	it('ignores the rounding of the wall clock', () => {
		const {clock, advance} = createClock();
		for (let count = 0; count < 100; count++) {
			advance(10, count % 2 === 0 ? 11 : 9);
			clock.now();
		}

		expect(clock.now()).to.equal(2000);
	});
});
