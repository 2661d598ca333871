import {expect} from 'chai';
import {SeededRandom} from '@fireflyglade/model';
import {SlotTuner} from './index.js';

/** Keeps all usable slots in use; `serviceMilliseconds` gives the mean duration of a run by the requests in flight. Returns for how many milliseconds each number of slots was usable. */
function saturate(tuner: SlotTuner, from: number, to: number, serviceMilliseconds: (inFlight: number) => number): Map<number, number> {
	const running: Array<{readonly startedAt: number; readonly endsAt: number; readonly inFlight: number}> = [];
	const millisecondsBySlots = new Map<number, number>();
	const random = new SeededRandom(5);
	for (let now = from; now < to; now++) {
		for (let index = running.length - 1; index >= 0; index--) {
			const run = running[index]!;
			if (run.endsAt <= now) {
				running.splice(index, 1);
				tuner.record(run.startedAt, run.inFlight, now);
			}
		}

		while (running.length < tuner.usableSlots) {
			const inFlight = running.length + 1;
			const factor = 0.5 - (0.5 * Math.log(1 - random.nextFraction()));
			running.push({startedAt: now, endsAt: now + (serviceMilliseconds(inFlight) * factor), inFlight});
		}

		millisecondsBySlots.set(tuner.usableSlots, (millisecondsBySlots.get(tuner.usableSlots) ?? 0) + 1);
	}

	return millisecondsBySlots;
}

describe('SlotTuner', () => {
	it('leaves a slot free at an upstream that slows down when all slots are in use', () => {
		const tuner = new SlotTuner(19, 0);
		const millisecondsBySlots = saturate(tuner, 0, 20_000, inFlight => inFlight > 18 ? 52 : 40);
		expect(millisecondsBySlots.get(18)! / 20_000).to.be.greaterThan(0.9);
	});

	it('uses all slots of an upstream that does not slow down when all are in use', () => {
		const tuner = new SlotTuner(19, 0);
		const millisecondsBySlots = saturate(tuner, 0, 60_000, () => 40);
		expect(millisecondsBySlots.get(19)! / 60_000).to.be.greaterThan(0.9);
	});

	it('measures again and adapts to an upstream that has changed', () => {
		const tuner = new SlotTuner(19, 0);
		saturate(tuner, 0, 20_000, inFlight => inFlight > 18 ? 52 : 40);
		const millisecondsBySlots = saturate(tuner, 20_000, 120_000, () => 40);
		expect(millisecondsBySlots.get(19)! / 100_000).to.be.greaterThan(0.6);
	});

	it('keeps all slots usable while they are not all in use', () => {
		const tuner = new SlotTuner(19, 0);
		for (let now = 0; now < 10_000; now += 10) {
			tuner.record(now - 5, 1 + (now % 18), now);
			expect(tuner.usableSlots).to.equal(19);
		}
	});

	it('never leaves a slot free at an upstream with few slots', () => {
		const tuner = new SlotTuner(4, 0);
		const millisecondsBySlots = saturate(tuner, 0, 20_000, inFlight => inFlight > 3 ? 80 : 40);
		expect([...millisecondsBySlots.keys()]).to.deep.equal([4]);
	});

	it('follows a change of the announced slots', () => {
		const tuner = new SlotTuner(19, 0);
		saturate(tuner, 0, 5000, inFlight => inFlight > 18 ? 52 : 40);
		tuner.setSlots(40, 5000);
		expect(tuner.usableSlots).to.equal(40);
	});
});
