import {expect} from 'chai';
import type {RunOutcome} from '../../types.js';
import {SlowStart, type UpstreamConditions} from './index.js';

const slots = 40;

/** What an upstream does with one request. */
type Behaviour = {
	readonly milliseconds?: (inFlight: number, now: number) => number;
	readonly outcome?: (now: number) => RunOutcome;
	readonly conditions?: UpstreamConditions;
	/** Requests in flight at most, if there are fewer than the cap allows. */
	readonly demand?: number;
};

/** Keeps as many requests in flight as the cap and the demand allow; the runs alternate between two classes, of which one takes ten times as long as the other. Returns the cap at each millisecond. */
function run(slowStart: SlowStart, from: number, to: number, behaviour: Behaviour = {}): number[] {
	const {milliseconds = () => 20, outcome = () => 'success', conditions = {slots}, demand = slots} = behaviour;
	const running: Array<{readonly startedAt: number; readonly endsAt: number; readonly inFlight: number; readonly workClass: number}> = [];
	const caps: number[] = [];
	for (let now = from; now < to; now++) {
		for (let index = running.length - 1; index >= 0; index--) {
			const {endsAt, startedAt, inFlight, workClass} = running[index]!;
			if (endsAt <= now) {
				running.splice(index, 1);
				slowStart.finish({
					startedAt, outcome: outcome(now), inFlightAtStart: inFlight, workClass,
				}, conditions, now);
			}
		}

		while (running.length < Math.min(demand, Math.floor(slowStart.cap(slots, now)))) {
			const inFlight = running.length + 1;
			const workClass = running.length % 2;
			running.push({
				startedAt: now, endsAt: now + (milliseconds(inFlight, now) * (workClass === 0 ? 1 : 10)), inFlight, workClass,
			});
		}

		caps.push(slowStart.cap(slots, now));
	}

	return caps;
}

/** A slow start that has begun at time 0, of an upstream without a past. */
function createStarted(): SlowStart {
	const slowStart = new SlowStart();
	slowStart.begin(slots, 0);
	return slowStart;
}

/** A slow start of an upstream that worked for 10 s and that begins again at time 0. */
function createRestarted(): SlowStart {
	const slowStart = new SlowStart();
	run(slowStart, -10_000, 0);
	slowStart.begin(slots, 0);
	return slowStart;
}

describe('SlowStart', () => {
	it('does nothing until it begins', () => {
		expect(Math.min(...run(new SlowStart(), 0, 500))).to.equal(slots);
	});

	it('gives a fresh upstream a quarter of its slots at once, and at least four', () => {
		const slowStart = createStarted();
		expect(slowStart.cap(slots, 0)).to.equal(10);
		for (const [few, cap] of [[8, 4], [2, 2]] as const) {
			slowStart.begin(few, 0);
			expect(slowStart.cap(few, 0)).to.equal(cap);
		}
	});

	it('keeps the cap in proportion to the slots when the upstream announces more of them', () => {
		const slowStart = new SlowStart();
		slowStart.begin(1, 0);
		expect(slowStart.cap(slots, 0)).to.equal(5);
	});

	// Guards against: a fresh upstream idles for seconds although it is as fast as ever.
	it('reaches all slots within a few requests while they take as long as the first ones', () => {
		expect(run(createStarted(), 0, 1000).indexOf(slots)).to.be.within(20, 300);
	});

	it('holds the cap of a fresh upstream while more concurrency makes requests slower', () => {
		const slow = {milliseconds: (inFlight: number) => inFlight <= 12 ? 20 : 20 * inFlight};
		expect(run(createStarted(), 0, 2000, slow).at(-1)).to.be.below(30);
	});

	it('holds the cap while requests take much longer than the same class usually does, and ends after 10 s', () => {
		const caps = run(createRestarted(), 0, 10_001, {milliseconds: () => 80});
		expect(caps[1000]).to.be.below(20);
		expect(caps[9999]).to.be.below(slots);
		expect(caps[10_000]).to.equal(slots);
	});

	// Guards against: a start-up, during which work takes twice as long, counts as an overload.
	it('grows while a restarted upstream takes twice as long as usual', () => {
		expect(run(createRestarted(), 0, 1000, {milliseconds: () => 40}).at(-1)).to.equal(slots);
	});

	it('takes the stated pace into account', () => {
		const slow = {milliseconds: () => 80};
		expect(run(createRestarted(), 0, 1000, slow).at(-1)).to.be.below(slots);
		expect(run(createRestarted(), 0, 1000, {...slow, conditions: {slots, pace: 4}}).at(-1)).to.equal(slots);
	});

	it('does not take a nearly idle upstream as proof that it could do more', () => {
		expect(run(createStarted(), 0, 2000, {demand: 1}).at(-1)).to.be.at.most(10);
	});

	it('lowers the cap while requests are refused or fail one after the other, to half of the initial one at least', () => {
		for (const outcome of ['refused', 'failure'] as const) {
			expect(run(createStarted(), 0, 3000, {outcome: () => outcome}).at(-1)).to.equal(5);
		}
	});

	// Guards against: an upstream that fails a third of its requests keeps a fraction of its slots.
	it('grows although some requests fail', () => {
		let count = 0;
		const caps = run(createStarted(), 0, 4000, {milliseconds: () => 100, outcome: () => ++count % 3 === 0 ? 'failure' : 'success'});
		expect(caps.at(-1)).to.equal(slots);
		for (const [index, cap] of caps.entries()) {
			expect(cap).to.be.at.least(caps[index - 1] ?? 0);
		}
	});

	it('begins by itself when an upstream that seems healthy fails all requests, and grows when it recovers', () => {
		const slowStart = new SlowStart();
		run(slowStart, 0, 2000);
		const failing = run(slowStart, 2000, 6000, {milliseconds: () => 1, outcome: () => 'failure'});
		expect(failing.at(-1)).to.be.at.most(10);
		const recovered = run(slowStart, 6000, 7000);
		expect(recovered[0]).to.be.at.most(10);
		expect(recovered.at(-1)).to.equal(slots);
	});

	// Guards against: failures, which end sooner than successes, seem to be all that an upstream answers.
	it('does not begin by itself when many requests fail before the first ones can succeed', () => {
		const slowStart = new SlowStart();
		for (let now = 0; now < 500; now++) {
			slowStart.finish({startedAt: now, outcome: 'failure'}, {slots}, now);
		}

		slowStart.finish({startedAt: 0, outcome: 'success'}, {slots}, 540);
		slowStart.finish({startedAt: 540, outcome: 'failure'}, {slots}, 1600);
		expect(slowStart.cap(slots, 1600)).to.equal(slots);
	});

	// Guards against: an upstream that refuses requests, to which the limit already reacts, is also taken for one that starts.
	it('does not begin by itself because of refusals, also between failures', () => {
		const slowStart = new SlowStart();
		for (let now = 0; now < 4000; now += 10) {
			slowStart.finish({startedAt: now, outcome: now % 400 === 0 ? 'failure' : 'refused'}, {slots}, now);
		}

		expect(slowStart.cap(slots, 4000)).to.equal(slots);
	});

	// Guards against: the failures that began a slow start count again, so that a single one halves its cap.
	it('does not lower the cap for the first failure after it began', () => {
		const slowStart = new SlowStart();
		run(slowStart, 0, 1010, {milliseconds: () => 1, outcome: () => 'failure'});
		expect(slowStart.cap(slots, 1010)).to.equal(10);
		slowStart.finish({startedAt: 1700, outcome: 'failure'}, {slots}, 1710);
		expect(slowStart.cap(slots, 1710)).to.equal(10);
	});

	// Guards against: runs that were suspended with the machine count as slow, or as failures of the resumed upstream.
	it('ignores runs from before it began', () => {
		for (const outcome of ['success', 'failure'] as const) {
			const slowStart = createRestarted();
			for (let count = 0; count < 30; count++) {
				slowStart.finish({startedAt: -8000, outcome}, {slots}, 600);
			}

			expect(slowStart.cap(slots, 600)).to.equal(10);
			expect(run(slowStart, 600, 700).at(-1)).to.be.above(20);
		}
	});
});
