import {expect} from 'chai';
import {GateAdmission} from '../gate-admission/index.js';
import {Trial, type TrialOptions, type TrialResult} from '../test-support/trial/index.js';
import {AnnouncedLimit} from './index.js';

/** Runs an upstream that announces 40 slots and has `realSlots` of them, at `load` times its capacity; the limit is that of the announced slots. */
function runTrial(realSlots: number, load: number, change: Partial<TrialOptions>): TrialResult {
	return new Trial({
		seed: 3,
		announcedSlots: 40,
		realSlots,
		meanServiceMilliseconds: 100,
		teams: [{name: 'one', rate: 100, offered: realSlots * 10 * load}],
		timeoutMilliseconds: 1000,
		retries: 0,
		retryDelayMilliseconds: 0,
		warmUpMilliseconds: 2000,
		milliseconds: 10_000,
		admission: slots => new GateAdmission({slots, now: 0, limit: new AnnouncedLimit({slots, now: 0})}),
		...change,
	}).run();
}

/** Refuses every second request. */
function refuseHalf(): Required<Pick<TrialOptions, 'outcome'>>['outcome'] {
	let count = 0;
	return () => ++count % 2 === 0 ? 'success' : 'refused';
}

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

	it('never lets an upstream with fewer slots than announced refuse requests once it reports its slots', () => {
		for (const load of [0.9, 2]) {
			expect(runTrial(10, load, {maximumWaiting: 0}).upstreamRefusedShare).to.be.above(0.1);
			const reporting = runTrial(10, load, {maximumWaiting: 0, report: actual => actual});
			expect(reporting.upstreamRefusedShare).to.equal(0);
			expect(reporting.goodput / reporting.capacity).to.be.above(Math.min(1, load) - 0.1);
		}
	});

	it('keeps requests from waiting inside an upstream that reports those that wait, although it states too many slots', () => {
		expect(runTrial(10, 2, {}).waitedInsideShare).to.equal(1);
		const reporting = runTrial(10, 2, {report: actual => ({...actual, slots: 40})});
		expect(reporting.waitedInsideShare).to.be.below(0.25);
		expect(reporting.goodput / reporting.capacity).to.be.above(0.95);
	});

	// Guards against: a false report takes most of an upstream's capacity.
	it('leaves an upstream that reports one slot, or waiting requests that it does not have, a quarter of its slots', () => {
		for (const lie of [{slots: 1}, {waiting: 3}]) {
			const result = runTrial(40, 2, {report: actual => ({...actual, ...lie})});
			expect(result.goodput / result.capacity).to.be.within(0.24, 0.27);
		}
	});

	it('serves as much as without reports when the reports are absurd or contradict the requests in flight', () => {
		const expected = runTrial(40, 2, {}).goodput;
		for (const lie of [{running: -1, slots: 4}, {running: 0, slots: 4}, {running: 500, slots: 4}]) {
			expect(runTrial(40, 2, {report: actual => ({...actual, ...lie})}).goodput).to.equal(expected);
		}
	});

	// Guards against: an upstream that refuses half of its requests for another reason than its load loses most of its slots too.
	it('keeps three quarters of the limit of an upstream that refuses requests while it has free slots', () => {
		const silent = runTrial(40, 2, {outcome: refuseHalf()});
		const reporting = runTrial(40, 2, {outcome: refuseHalf(), report: actual => actual});
		expect(silent.goodput / silent.capacity).to.be.below(0.5);
		expect(reporting.goodput / reporting.capacity).to.be.above(0.7);
	});

	it('exposes the pace that the upstream states, for its lifetime', () => {
		const limit = new AnnouncedLimit({slots: 8, now: 0});
		limit.begin(3);
		expect(limit.pace(0)).to.equal(undefined);
		const reportedLoad = {
			running: 3, waiting: 0, slots: 8, pace: 2.5,
		};
		limit.observeLoad(reportedLoad, 0);
		expect(limit.pace(0)).to.equal(2.5);
		expect(limit.describe(0)).to.deep.equal({reportedLoad});
		expect(limit.describe(1000)).to.deep.equal({});
		expect(limit.pace(1000)).to.equal(undefined);
	});

	// Guards against: entry nodes don't learn that an upstream's machine is slow at present.
	it('states the pace with the level of the gate while it is valid', () => {
		const gate = new GateAdmission({slots: 8, now: 0, limit: new AnnouncedLimit({slots: 8, now: 0})});
		gate.observeLoad({
			running: 0, waiting: 0, slots: 8, pace: 2.5,
		}, 0);
		expect(gate.level(0).pace).to.equal(2.5);
		expect(gate.level(1000)).not.to.have.property('pace');
	});

	it('starts slowly if the upstream is cold, and again when asked to', () => {
		expect(new AnnouncedLimit({slots: 40, now: 0}).current(0)).to.equal(40);
		const limit = new AnnouncedLimit({slots: 40, now: 0, isCold: true});
		expect(limit.current(0)).to.equal(10);
		expect(limit.describe(0)).to.deep.equal({slowStartLimit: 10});
		for (let count = 0; count < 30; count++) {
			limit.finish({startedAt: 10, outcome: 'success'}, 9, 30);
		}

		expect(limit.current(30)).to.equal(40);
		limit.beginSlowStart(5000);
		expect(limit.current(5000)).to.equal(10);
		expect(limit.current(15_000)).to.equal(40);
	});

	// Guards against: entry nodes give a fresh upstream a tenth of its share although it could do half of its work.
	it('lets a cold upstream do more in its first 3 s than a linear increase of its share, with few late answers', () => {
		const start = {
			slowness: (now: number) => now < 3000 ? 2 : 1, timeoutMilliseconds: 400, warmUpMilliseconds: 0, milliseconds: 3000,
		};
		const ramp = runTrial(40, 0.5, {...start, entryShare: now => 0.1 + (0.9 * now / 3000)});
		const slowStart = runTrial(40, 0.5, {
			...start,
			entryShare: (_now, {limit}) => limit / 40,
			admission: slots => new GateAdmission({slots, now: 0, limit: new AnnouncedLimit({slots, now: 0, isCold: true})}),
		});
		expect(slowStart.goodput / ramp.goodput).to.be.above(1.4);
		expect(slowStart.lateShare).to.be.below(0.08);
	});

	it('lowers the limit of an upstream that fails all requests, and restores it within a second after it recovers', () => {
		const limit = new AnnouncedLimit({slots: 40, now: 0});
		const limits = new Map<number, number>();
		const result = runTrial(40, 0.9, {
			outcome: now => now >= 4000 && now < 8000 ? 'failure' : 'success',
			entryShare(now, level) {
				limits.set(Math.floor(now / 100), level.limit);
				return 1;
			},
			admission: slots => new GateAdmission({slots, now: 0, limit}),
		});
		expect(limits.get(39)).to.equal(40);
		expect(limits.get(79)).to.be.at.most(10);
		expect(limits.get(90)).to.equal(40);
		const answers = result.answersByTenth.slice(90, 110).reduce((sum, count) => sum + count, 0);
		expect(answers / 2).to.be.above(0.8 * result.capacity);
	});
});
