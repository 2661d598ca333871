import {expect} from 'chai';
import {GateAdmission} from '../gate-admission/index.js';
import {Trial, type TrialOptions} from '../test-support/trial/index.js';
import {FixedLimit} from '../test-support/admission-policies/index.js';
import {AdaptiveLimit} from './index.js';

const slowdownStart = 5000;
const slowdownEnd = 15_000;

/** A service with 10 slots and a mean service time of 20 ms, which is a capacity of 500 requests per second. */
function createTrialOptions(change: Partial<TrialOptions>): TrialOptions {
	return {
		seed: 3,
		announcedSlots: 10,
		realSlots: 10,
		meanServiceMilliseconds: 20,
		teams: [{name: 'one', rate: 100, offered: 1000}],
		timeoutMilliseconds: 1000,
		retries: 0,
		retryDelayMilliseconds: 50,
		warmUpMilliseconds: 2000,
		milliseconds: 8000,
		...change,
	};
}

describe('AdaptiveLimit', () => {
	it('rounds the announced slots down and keeps a limit of at least 1 if they are 0 or not a number', () => {
		const limit = new AdaptiveLimit({slots: 12.7, now: 0});
		expect(limit.current(0)).to.equal(12);
		limit.setSlots(0, 1);
		expect(limit.current(1)).to.equal(1);
		limit.setSlots(Number.NaN, 2);
		expect(limit.current(2)).to.equal(1);
	});

	it('approaches the real number of slots of an upstream that announces four times as many', () => {
		let limit: AdaptiveLimit | undefined;
		const result = new Trial(createTrialOptions({
			announcedSlots: 40,
			admission(slots) {
				limit = new AdaptiveLimit({slots, now: 0});
				return new GateAdmission({slots, now: 0, limit});
			},
		})).run();
		expect(limit!.current(10_000)).to.be.within(8, 22);
		expect(result.goodput / result.capacity).to.be.at.least(0.95);
	});

	it('serves nearly as many requests as a fixed limit when the work itself becomes slower', () => {
		const slow = createTrialOptions({milliseconds: 20_000, slowness: now => now >= slowdownStart && now < slowdownEnd ? 4 : 1});
		const adaptive = new Trial({...slow, admission: slots => new GateAdmission({slots, now: 0})}).run();
		const fixed = new Trial({...slow, admission: slots => new GateAdmission({slots, now: 0, limit: new FixedLimit(slots)})}).run();
		expect(adaptive.goodput / fixed.goodput).to.be.at.least(0.95);
	});

	it('keeps its baseline during a long overload of an upstream with fewer slots than announced', () => {
		let limit: AdaptiveLimit | undefined;
		new Trial(createTrialOptions({
			announcedSlots: 30,
			milliseconds: 60_000,
			teams: [{name: 'one', rate: 100, offered: 2000}],
			admission(slots) {
				limit = new AdaptiveLimit({slots, now: 0});
				return new GateAdmission({slots, now: 0, limit});
			},
		})).run();
		expect(limit!.baseline).to.be.within(10, 30);
	});

	it('raises the limit of a cold upstream from a quarter of its slots to all of them', () => {
		const limit = new AdaptiveLimit({slots: 40, now: 0, isCold: true});
		const limits: number[] = [];
		let now = 0;
		while (now < 5000) {
			limits.push(limit.current(now));
			limit.begin(4, now);
			now += 20;
			limit.finish({startedAt: now - 20, outcome: 'success', inFlightAtStart: limits.at(-1)!}, 3, now);
		}

		expect(limits[0]).to.equal(10);
		expect(limits.at(-1)).to.equal(40);
		for (const [index, value] of limits.entries()) {
			expect(value).to.be.at.least(limits[index - 1] ?? 0);
		}

		expect(limits.indexOf(40) * 20).to.be.within(400, 1500);
	});

	it('keeps the limit of a cold upstream low while its latency is far above that of its first requests', () => {
		const limit = new AdaptiveLimit({slots: 40, now: 0, isCold: true});
		let now = 0;
		while (now < 1500) {
			const latency = now < 300 ? 20 : 100;
			limit.begin(10, now);
			now += latency;
			limit.finish({startedAt: now - latency, outcome: 'success', inFlightAtStart: 10}, 9, now);
		}

		expect(limit.current(now)).to.be.below(30);
	});

	it('follows the slots that the upstream reports, and returns to its own measurements when the reports stop', () => {
		const limit = new AdaptiveLimit({slots: 40, now: 0});
		limit.begin(20, 0);
		limit.observeLoad({
			running: 20, waiting: 0, slots: 20, pace: 1.5,
		}, 0);
		expect(limit.current(0)).to.equal(20);
		expect(limit.pace(0)).to.equal(1.5);
		expect(limit.current(500)).to.equal(40);
		expect(limit.pace(500)).to.equal(undefined);
	});
});
