import {
	createFailureDomain, createNodeId, createServiceName, createUpstreamId, SeededRandom, SystemClock, type RequestId, type Target,
} from '@fireflyglade/model';
import {ServiceRetryBudgets, TargetRouting} from '@fireflyglade/routing';
import {expect} from 'chai';
import {createRoute} from '../../test-support/index.js';
import {emptyBody} from '../request-body/index.js';
import {CallAttempts} from './index.js';

const node = createNodeId('node-1');
const domain = createFailureDomain('here');
const service = createServiceName('orders');

function createTarget(): Target {
	return {
		upstream: createUpstreamId(service, node), service, node, domain, gateUrl: '', rpcAddress: '', available: true, slots: 1,
	};
}

describe('CallAttempts', () => {
	it('cancels the attempt that runs when its caller goes away', () => {
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
			// The call is cancelled before any answer.
		};

		const attempts = new CallAttempts({
			requestId: 'call-1' as RequestId,
			rootId: 'call-1' as RequestId,
			route: createRoute('GET', '/orders'),
			service: createRoute('GET', '/orders').service,
			priority: 5,
			deadline: clock.now() + 10_000,
			maximumAttempts: 3,
			depth: 0,
			traceparent: '',
			method: 'GET',
			path: '/orders',
			headers: [],
			body: emptyBody,
		}, {
			onHead: nothing, onData: nothing, onEnd: nothing, onProblem: nothing, onBroken: nothing,
		}, {
			node, ownGate: runner, remoteGate: () => runner, routing, retryBudgets: new ServiceRetryBudgets(), clock, random: new SeededRandom(1),
		});
		attempts.start();
		attempts.cancel();
		attempts.cancel();
		expect(cancelled).to.equal(1);
	});
});
