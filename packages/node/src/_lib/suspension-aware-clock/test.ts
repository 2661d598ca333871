import {expect} from 'chai';
import {SuspensionAwareClock} from './index.js';

describe('SuspensionClock', () => {
	const createClock = () => {
		const times = {monotonic: 1000, wall: 500_000};
		const clock = new SuspensionAwareClock({now: () => times.monotonic, wallNow: () => times.wall});
		const pass = (monotonic: number, wall = monotonic) => {
			times.monotonic += monotonic;
			times.wall += wall;
		};

		return {clock, pass};
	};

	it('follows the monotonic clock', () => {
		const {clock, pass} = createClock();
		pass(5000);
		expect(clock.now()).to.equal(6000);
	});

	it('counts the time of a suspension', () => {
		const {clock, pass} = createClock();
		pass(10, 4010);
		expect(clock.now()).to.equal(5010);
		pass(100);
		expect(clock.now()).to.equal(5110);
	});

	it('counts a suspension after the time of day was set back', () => {
		const {clock, pass} = createClock();
		pass(100, -3900);
		expect(clock.now()).to.equal(1100);
		pass(10, 4010);
		expect(clock.now()).to.equal(5110);
	});

	it('does not count the rounding of the time of day', () => {
		const {clock, pass} = createClock();
		for (let count = 0; count < 100; count++) {
			pass(10, count % 2 === 0 ? 11 : 9);
			clock.now();
		}

		expect(clock.now()).to.equal(2000);
	});
});
