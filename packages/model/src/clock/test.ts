import {expect} from 'chai';
import {ManualClock} from './index.js';

describe('ManualClock', () => {
	it('runs timers in the order in which they are due', () => {
		const clock = new ManualClock();
		const fired: string[] = [];
		clock.startTimer(20, () => fired.push('second'));
		clock.startTimer(10, () => fired.push('first'));
		clock.advance(20);
		expect(fired).to.deep.equal(['first', 'second']);
	});

	it('does not run a timer that was cancelled', () => {
		const clock = new ManualClock();
		let fired = false;
		const timer = clock.startTimer(10, () => {
			fired = true;
		});
		timer.cancel();
		clock.advance(100);
		expect(fired).to.equal(false);
	});

	it('runs a timer that another timer started within the same advance', () => {
		const clock = new ManualClock();
		const times: number[] = [];
		clock.startTimer(10, () => {
			clock.startTimer(5, () => times.push(clock.now()));
		});
		clock.advance(100);
		expect(times).to.deep.equal([15]);
	});
});
