/**
A replay of a call graph whose deepest service refuses a share of its requests.

Two kinds of requests make four sequential calls to that service, through two or three
services in between; one kind calls it directly, and one kind doesn't need it. The routes of the
calls allow more time than callers have, so that gates can tell which request a call
belongs to.
*/

import {
	NodeRetryBudget, RootLoadShedder, ServiceRetryBudgets, WindowedRetryBudget,
} from '@fireflyglade/routing';
import {
	replayCallGraph, type ReplayEntryNode, type ReplayKind, type ReplayLoad, type ReplayOptions, type ReplayRefusal, type ReplayResult, type ReplayRetries, type ReplayService,
} from '../call-graph-replay/index.js';

const services: readonly ReplayService[] = [
	{name: 'reports', slots: 16, speeds: [0.7, 0.9, 1, 1.2, 1.5]},
	{name: 'accounts', slots: 24, speeds: [0.7, 0.9, 1, 1.2, 1.5]},
	{name: 'register', slots: 24, speeds: [0.7, 0.9, 1, 1.2, 1.5]},
	{name: 'stock', slots: 8, speeds: [0.8, 1, 1.2, 1.4]},
];
const nodeCount = 19;

const stock: ReplayKind = {
	name: 'stock', service: 'stock', priority: 0, workMilliseconds: 15, timeoutMilliseconds: 4000, retryLimit: 2, isIdempotent: true,
};
const register: ReplayKind = {
	name: 'register', service: 'register', priority: 0, workMilliseconds: 10, timeoutMilliseconds: 4000, retryLimit: 1, isIdempotent: true, calls: {kind: stock, times: 4, isParallel: false},
};
const check: ReplayKind = {
	name: 'check', service: 'accounts', priority: 0, workMilliseconds: 15, timeoutMilliseconds: 4000, retryLimit: 1, isIdempotent: true, calls: {kind: register, times: 1, isParallel: false},
};
/** The kinds of callers' requests; `signoff` is not idempotent. */
export const kinds = {
	lookup: {
		name: 'lookup', service: 'reports', priority: 12, workMilliseconds: 120, timeoutMilliseconds: 2500, retryLimit: 2, isIdempotent: true, calls: {kind: check, times: 1, isParallel: false},
	},
	signoff: {
		name: 'signoff', service: 'accounts', priority: 10, workMilliseconds: 100, timeoutMilliseconds: 1500, retryLimit: 1, isIdempotent: false, calls: {kind: register, times: 1, isParallel: false},
	},
	order: {
		name: 'order', service: 'reports', priority: 10, workMilliseconds: 60, timeoutMilliseconds: 1200, retryLimit: 1, isIdempotent: false,
	},
	schedule: {
		name: 'schedule', service: 'stock', priority: 11, workMilliseconds: 25, timeoutMilliseconds: 1200, retryLimit: 2, isIdempotent: true,
	},
} satisfies Record<string, ReplayKind>;

const loads: readonly ReplayLoad[] = [
	{kind: kinds.lookup, perSecond: 160, objectiveMilliseconds: 1000},
	{kind: kinds.signoff, perSecond: 130, objectiveMilliseconds: 1000},
	{kind: kinds.order, perSecond: 50, objectiveMilliseconds: 300},
	{kind: kinds.schedule, perSecond: 50, objectiveMilliseconds: 250},
];

/** The rule for repeats that the fleet keeps. */
export const repeatRule = {share: 0.2, fixed: 94};

/** Policies to compare. `quarter`: a quarter of the budget, with whole runs repeated. `calls`: nine tenths of it, for refused calls first. */
export type RefusedSharePolicy = 'quarter' | 'calls';

/** When the deepest service refuses. */
export const refusalInterval = {fromMilliseconds: 22_000, untilMilliseconds: 30_500};

/** Runs the replay. Requests are counted that arrive in the given interval, or while the service refuses. */
export function replayRefusedShare(policy: RefusedSharePolicy, seed: number, {upstreamCount, share, measured = refusalInterval, loadFactor = 1}: {
	readonly upstreamCount: number;
	readonly share: number;
	readonly measured?: {readonly fromMilliseconds: number; readonly untilMilliseconds: number};
	readonly loadFactor?: number;
}): ReplayResult {
	const refusal: ReplayRefusal = {
		service: 'stock', upstreamCount, share, ...refusalInterval,
	};
	return replayCallGraph({
		services,
		loads,
		entryNodeCount: nodeCount,
		loadFactor: () => loadFactor,
		durationMilliseconds: 36_000,
		measuredFromMilliseconds: measured.fromMilliseconds,
		measuredUntilMilliseconds: measured.untilMilliseconds,
		seed,
		refusal,
		retries: createRetries(policy),
		createEntryNode,
	});
}

function createRetries(policy: RefusedSharePolicy): ReplayRetries {
	const fraction = policy === 'quarter' ? 0.25 : 0.9;
	const share = repeatRule.share * fraction;
	const fixed = repeatRule.fixed * fraction / nodeCount;
	return {
		createBudgets: () => new ServiceRetryBudgets(() => policy === 'quarter'
			? new NodeRetryBudget(attempts => (attempts * share) + fixed)
			: new WindowedRetryBudget({share, getFixed: () => fixed})),
		areRunsRepeatedDuringRefusals: policy === 'quarter',
		refusedCallDelayMilliseconds: policy === 'quarter' ? 10 : 1,
	};
}

function createEntryNode(random: Parameters<ReplayOptions['createEntryNode']>[0]): ReplayEntryNode {
	const loadShedder = new RootLoadShedder();
	return {
		admits: (route, now) => loadShedder.admits(route, now, random),
		admitsAll: now => loadShedder.admitsAll(now),
		recordDelay(crowding, now) {
			loadShedder.recordDelay(crowding, now);
		},
		ended(route, {isServed, admittedAt, crowding}, now) {
			if (isServed) {
				loadShedder.recordLatency(route, now - admittedAt, now);
			}

			if (crowding !== undefined) {
				loadShedder.recordRouteDelay(route, crowding, now);
			}
		},
	};
}
