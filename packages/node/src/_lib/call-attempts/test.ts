import {
	createFailureDomain, createNodeId, createServiceName, createUpstreamId, ManualClock, SeededRandom, SystemClock, type Problem, type RequestId, type Target,
} from '@fireflyglade/model';
import {
	RootLoadShedder, ServiceRetryBudgets, TargetRouting, type QueueingDelay, type RetryBudget, type RetryBudgets,
} from '@fireflyglade/routing';
import type {ResponseFlow, ResponseHead} from '@fireflyglade/transport';
import {expect} from 'chai';
import {createRoute} from '../../test-support/index.js';
import type {CallReceiver, CallRunner, GateCall} from '../call-types.js';
import {emptyBody} from '../request-body/index.js';
import {CallAttempts, type EntryCall} from './index.js';

const node = createNodeId('node-1');
const domain = createFailureDomain('here');
const service = createServiceName('orders');

function createTarget(targetNode = node): Target {
	return {
		upstream: createUpstreamId(service, targetNode), service, node: targetNode, domain, gateUrl: '', rpcAddress: '', available: true, slots: 1,
	};
}

function createCall(name: string, change: Partial<EntryCall> = {}): EntryCall {
	const route = createRoute('GET', '/orders');
	return {
		requestId: name as RequestId,
		rootId: name as RequestId,
		route,
		service: route.service,
		priority: 5,
		deadline: 10_000,
		workClass: 0,
		maximumAttempts: 3,
		depth: 0,
		traceparent: '',
		method: 'GET',
		path: '/orders',
		headers: [],
		body: emptyBody,
		...change,
	};
}

function ignore(): void {
	// Nothing is examined.
}

type CallResult = {
	/** The upstreams that were reached, with the id of the attempt and the time. */
	readonly reached: ReadonlyArray<{readonly upstream: string; readonly attempt: string; readonly at: number}>;
	readonly problem: Problem | undefined;
};

/** Runs a call over four upstreams, each of which answers in the given way at once. */
function runCall(answer: (receiver: CallReceiver) => void, change: Partial<EntryCall> = {}, retryBudgets: RetryBudgets = new ServiceRetryBudgets()): CallResult {
	const clock = new ManualClock();
	const routing = new TargetRouting({domain, node});
	const names = ['node-1', 'node-2', 'node-3', 'node-4'].map(name => createNodeId(name));
	routing.setTargets(names.map(name => ({...createTarget(), node: name, upstream: createUpstreamId(service, name)})), 0);
	const reached: Array<CallResult['reached'][number]> = [];
	const createRunner = (target: Target): CallRunner => ({
		run({context}, receiver) {
			reached.push({upstream: target.upstream, attempt: context.requestId, at: clock.now()});
			answer(receiver);
			return {cancel: ignore};
		},
	});
	let problem: Problem | undefined;
	new CallAttempts(createCall('call-1', {deadline: 3000, ...change}), {
		onHead: ignore,
		onData: ignore,
		onEnd: ignore,
		onProblem(final) {
			problem = final;
		},
		onBroken: ignore,
	}, {
		node,
		ownGate: createRunner(createTarget()),
		remoteGate: createRunner,
		routing,
		retryBudgets,
		rootLoadShedder: new RootLoadShedder(),
		clock,
		random: new SeededRandom(1),
	}).start();
	for (let count = 0; count < 50; count++) {
		clock.advance(1);
	}

	return {reached, problem};
}

const refusal: Problem = {
	code: 'overloaded', outcome: 'not-run', detail: 'the upstream refused the request', retryAfterMilliseconds: 250,
};

describe('CallAttempts', () => {
	it('retries a call that its upstream refused at once, each time at another upstream, and then states a delay that the caller waits for', () => {
		const {reached, problem} = runCall(receiver => {
			receiver.onProblem(refusal, {retriesLeft: 0, hasArrived: true});
		});
		expect(new Set(reached.map(({upstream}) => upstream)).size).to.equal(3);
		expect(reached).to.have.length(3);
		expect(reached.at(-1)!.at).to.be.at.most(10);
		expect(problem!.outcome).to.equal('not-run');
		expect(problem!.retryAfterMilliseconds).to.be.within(450, 1000);
	});

	it('accounts for a call of a repeated run as a repeat, and for a call that reached no upstream not as a request', () => {
		const events: string[] = [];
		const budget: RetryBudget = {
			recordAttempt(_now, repeatProbability) {
				events.push(`attempt ${repeatProbability}`);
			},
			withdrawAttempt(_now, repeatProbability) {
				events.push(`withdrawn ${repeatProbability}`);
			},
			takeRetry(_now, demand) {
				events.push(`${demand!.kind} ${demand!.progress}`);
				return events.length < 4;
			},
		};
		const budgets: RetryBudgets = {of: () => budget};
		const change: Partial<EntryCall> = {depth: 1, repeatProbability: 1, progress: 2};
		const answers = [{makesCalls: false}, {makesCalls: true}, {}].map(metadata => runCall(receiver => {
			receiver.onProblem(refusal, {retriesLeft: 0, hasArrived: metadata.makesCalls !== undefined, ...metadata});
		}, change, budgets));
		expect(answers[0]!.reached.map(({attempt}) => attempt)).to.deep.equal(['call-1.2', 'call-1.3', 'call-1.4']);
		expect(events).to.deep.equal([
			'attempt 1', 'refused-call 2', 'refused-call 2', 'attempt 1', 'repeated-run 2', 'attempt 1', 'repeated-run 2', 'withdrawn 1',
		]);
	});

	for (const share of [0.05, 0.5]) {
		it(`${share < 0.1 ? 'repeats' : 'does not repeat'} a request that failed while its upstream's calls are refused to a share of ${share}`, () => {
			const {reached} = runCall(receiver => {
				receiver.onHead({status: 500, headers: {}}, {pause: ignore, resume: ignore}, {retriesLeft: 0, refusedShare: {service: createServiceName('stock'), share}});
				receiver.onEnd({});
			});
			expect(reached.length > 1).to.equal(share < 0.1);
		});
	}

	it('cancels the running attempt once when the call is cancelled twice', () => {
		let cancelled = 0;
		const routing = new TargetRouting({domain, node});
		routing.setTargets([createTarget()], 0);
		const clock = new SystemClock();
		const runner = {
			run: () => ({
				cancel() {
					cancelled++;
				},
			}),
		};
		const nothing = (): void => {
			// The call is cancelled before any response.
		};

		const attempts = new CallAttempts(createCall('call-1', {deadline: clock.now() + 10_000}), {
			onHead: nothing, onData: nothing, onEnd: nothing, onProblem: nothing, onBroken: nothing,
		}, {
			node, ownGate: runner, remoteGate: () => runner, routing, retryBudgets: new ServiceRetryBudgets(), clock, random: new SeededRandom(1),
		});
		attempts.start();
		attempts.cancel();
		attempts.cancel();
		expect(cancelled).to.equal(1);
	});

	it('tries another upstream at once when a gate could not be reached, and the next call avoids that gate', () => {
		const clock = new ManualClock();
		const routing = new TargetRouting({domain, node});
		routing.setTargets([1, 2].map(number => createTarget(createNodeId(`gate-${number}`))), 0);
		const attempts: string[] = [];
		const problems: Problem[] = [];
		const nothing = (): void => {
			// The responses are not examined.
		};

		const remoteGate = (target: Target): CallRunner => ({
			run(_call, receiver) {
				attempts.push(`${target.node} at ${clock.now()}`);
				receiver.onProblem({code: 'no-upstream', outcome: 'not-run', detail: 'the gate could not be reached'}, {
					retriesLeft: 0, isUnreachable: target.node === attempts[0]!.split(' ')[0],
				});
				return {cancel: nothing};
			},
		});
		for (const name of ['call-1', 'call-2']) {
			new CallAttempts(createCall(name, {maximumAttempts: 2}), {
				onHead: nothing, onData: nothing, onEnd: nothing, onBroken: nothing, onProblem(problem) {
					problems.push(problem);
				},
			}, {
				node,
				ownGate: remoteGate(createTarget()),
				remoteGate,
				routing,
				retryBudgets: {of: () => ({recordAttempt: nothing, takeRetry: () => expect.fail('the retry costs no budget')})},
				clock,
				random: new SeededRandom(1),
			}).start();
			clock.advance(0);
		}

		const [unreachable, other] = attempts.map(attempt => attempt.split(' ')[0]);
		expect(attempts.slice(0, 3)).to.deep.equal([`${unreachable} at 0`, `${other} at 0`, `${other} at 0`]);
		expect(problems[0]).to.include({outcome: 'not-run'});
	});

	for (const depth of [0, 1]) {
		it(`records the queueing delay that is reported with a response at depth ${depth}, and reports it to its own gate if the upstream made the call`, () => {
			const crowding: QueueingDelay = {service: createServiceName('stock'), waitMilliseconds: 250};
			const clock = new ManualClock();
			const routing = new TargetRouting({domain, node});
			routing.setTargets([createTarget()], 0);
			const rootLoadShedder = new RootLoadShedder();
			const reported: QueueingDelay[] = [];
			const nothing = (): void => {
				// The responses are not examined.
			};

			const head: ResponseHead = {status: 200, headers: {}};
			const flow: ResponseFlow = {pause: nothing, resume: nothing};
			const runner = {
				run(_call: GateCall, receiver: CallReceiver) {
					clock.advance(10);
					receiver.onHead(head, flow, {retriesLeft: 0, crowding});
					receiver.onEnd({});
					return {cancel: nothing};
				},
			};
			for (let count = 0; count < 30; count++) {
				new CallAttempts(createCall(`call-${count}`, {depth}), {
					onHead: nothing, onData: nothing, onEnd: nothing, onProblem: nothing, onBroken: nothing,
				}, {
					node,
					ownGate: runner,
					remoteGate: () => runner,
					routing,
					retryBudgets: new ServiceRetryBudgets(),
					rootLoadShedder,
					onDownstreamQueueingDelay(delay) {
						reported.push(delay);
					},
					clock,
					random: new SeededRandom(1),
				}).start();
			}

			expect(reported).to.deep.equal(depth === 0 ? [] : Array.from({length: 30}, () => crowding));
			expect(rootLoadShedder.admitsAll(clock.now())).to.equal(depth > 0);
		});
	}
});
