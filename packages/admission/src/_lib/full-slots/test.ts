import {expect} from 'chai';
import {SeededRandom} from '@fireflyglade/model';
import {FullSlots} from './index.js';

/** Keeps all usable slots taken; a run takes what `milliseconds` gives for the number that run. Returns the parts of the time with each number of slots. */
function saturate(full: FullSlots, from: number, to: number, milliseconds: (inFlight: number) => number): Map<number, number> {
	const running: Array<{readonly startedAt: number; readonly endsAt: number; readonly inFlight: number}> = [];
	const times = new Map<number, number>();
	const random = new SeededRandom(5);
	for (let now = from; now < to; now++) {
		for (let index = running.length - 1; index >= 0; index--) {
			const run = running[index]!;
			if (run.endsAt <= now) {
				running.splice(index, 1);
				full.record(run.startedAt, run.inFlight, now);
			}
		}

		while (running.length < full.usable) {
			const inFlight = running.length + 1;
			const part = 0.5 - (0.5 * Math.log(1 - random.nextFraction()));
			running.push({startedAt: now, endsAt: now + (milliseconds(inFlight) * part), inFlight});
		}

		times.set(full.usable, (times.get(full.usable) ?? 0) + 1);
	}

	return times;
}

describe('FullSlots', () => {
	it('leaves a slot free of an upstream that slows down when all are taken', () => {
		const full = new FullSlots(19, 0);
		const times = saturate(full, 0, 20_000, inFlight => inFlight > 18 ? 52 : 40);
		expect(times.get(18)! / 20_000).to.be.greaterThan(0.9);
	});

	it('takes all slots of an upstream that is as quick with all of them taken', () => {
		const full = new FullSlots(19, 0);
		const times = saturate(full, 0, 60_000, () => 40);
		expect(times.get(19)! / 60_000).to.be.greaterThan(0.9);
	});

	it('measures again, so that an upstream that changes is taken as it is', () => {
		const full = new FullSlots(19, 0);
		saturate(full, 0, 20_000, inFlight => inFlight > 18 ? 52 : 40);
		const times = saturate(full, 20_000, 120_000, () => 40);
		expect(times.get(19)! / 100_000).to.be.greaterThan(0.6);
	});

	it('leaves the slots as they are while they are not all taken', () => {
		const full = new FullSlots(19, 0);
		for (let now = 0; now < 10_000; now += 10) {
			full.record(now - 5, 1 + (now % 18), now);
			expect(full.usable).to.equal(19);
		}
	});

	it('never leaves one of a few slots free', () => {
		const full = new FullSlots(4, 0);
		const times = saturate(full, 0, 20_000, inFlight => inFlight > 3 ? 80 : 40);
		expect([...times.keys()]).to.deep.equal([4]);
	});

	it('takes over other slots', () => {
		const full = new FullSlots(19, 0);
		saturate(full, 0, 5000, inFlight => inFlight > 18 ? 52 : 40);
		full.setSlots(40, 5000);
		expect(full.usable).to.equal(40);
	});
});
