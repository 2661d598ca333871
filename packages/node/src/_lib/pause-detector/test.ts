import {expect} from 'chai';
import {ManualClock} from '@fireflyglade/model';
import {PauseDetector} from './index.js';

/** A clock whose monotonic time stops while the machine is suspended. */
class SuspendableClock extends ManualClock {
	#suspendedMilliseconds = 0;

	override wallNow(): number {
		return super.wallNow() + this.#suspendedMilliseconds;
	}

	suspend(milliseconds: number): void {
		this.#suspendedMilliseconds += milliseconds;
	}
}

describe('PauseDetector', () => {
	const createDetector = () => {
		const clock = new SuspendableClock();
		const pauses: number[] = [];
		const state = {isNeeded: true};
		const detector = new PauseDetector({
			clock,
			isNeeded: () => state.isNeeded,
			onPause(milliseconds) {
				pauses.push(milliseconds);
			},
		});
		return {
			clock, pauses, state, detector,
		};
	};

	it('reports each pause once', () => {
		const {clock, pauses, detector} = createDetector();
		detector.watch();
		clock.advance(700);
		clock.suspend(4000);
		clock.advance(2000);
		expect(pauses).to.deep.equal([4000]);
		detector.close();
	});

	// Guards against: a busy machine, on which timers are late, counts as suspended again and again.
	it('ignores short delays', () => {
		const {clock, pauses, detector} = createDetector();
		detector.watch();
		for (let count = 0; count < 20; count++) {
			clock.suspend(900);
			clock.advance(250);
		}

		expect(pauses).to.deep.equal([]);
		detector.close();
	});

	it('stops when it is no longer needed, and starts again', () => {
		const {
			clock, pauses, state, detector,
		} = createDetector();
		detector.watch();
		state.isNeeded = false;
		clock.suspend(4000);
		clock.advance(1000);
		state.isNeeded = true;
		clock.suspend(4000);
		detector.watch();
		clock.advance(1000);
		expect(pauses).to.deep.equal([]);
		clock.suspend(4000);
		clock.advance(1000);
		expect(pauses).to.deep.equal([4000]);
		detector.close();
	});
});
