import {expect} from 'chai';
import {SeededRandom} from '@fireflyglade/model';
import {SlotTuner} from './index.js';

/** Keeps all usable slots in use; `serviceMilliseconds` gives the mean duration of a run by the requests in flight. Returns for how many milliseconds each number of slots was usable. */
function saturate(tuner: Pick<SlotTuner, 'record' | 'usableSlots'>, from: number, to: number, serviceMilliseconds: (inFlight: number, now: number) => number): Map<number, number> {
	const running: Array<{readonly startedAt: number; readonly endsAt: number; readonly inFlight: number}> = [];
	const millisecondsBySlots = new Map<number, number>();
	const random = new SeededRandom(5);
	for (let now = from; now < to; now++) {
		for (let index = running.length - 1; index >= 0; index--) {
			const run = running[index]!;
			if (run.endsAt <= now) {
				running.splice(index, 1);
				tuner.record({...run, pace: 1}, now);
			}
		}

		while (running.length < tuner.usableSlots) {
			const inFlight = running.length + 1;
			const factor = 0.5 - (0.5 * Math.log(1 - random.nextFraction()));
			running.push({startedAt: now, endsAt: now + (serviceMilliseconds(inFlight, now) * factor), inFlight});
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

	// Guards against: slots are left free because a neighbour slowed the machine down while all of them were in use.
	it('uses all slots of an upstream whose machine changes its pace, if it states the pace', () => {
		const random = new SeededRandom(9);
		const paces = Array.from({length: 1000}, () => random.nextFraction() < 0.15 ? 2.5 : 1);
		const paceAt = (now: number): number => paces[Math.floor(now / 600)]!;
		/** Share of the time in which all slots are usable. */
		const shareOfFull = (statedPace: (now: number) => number): number => {
			let milliseconds = 0;
			for (let start = 0; start < 600_000; start += 12_000) {
				const tuner = new SlotTuner(8, start);
				milliseconds += saturate({
					get usableSlots() {
						return tuner.usableSlots;
					},
					record(run, now) {
						tuner.record({...run, pace: statedPace(now)}, now);
					},
				}, start, start + 12_000, (_inFlight, now) => 30 * paceAt(now)).get(8)!;
			}

			return milliseconds / 600_000;
		};

		expect(shareOfFull(() => 1)).to.be.below(0.9);
		expect(shareOfFull(paceAt)).to.be.above(0.93);
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
			tuner.record({startedAt: now - 5, inFlight: 1 + (now % 18), pace: 1}, now);
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
