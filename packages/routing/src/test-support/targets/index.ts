/**
Targets for tests of routing.
*/

import {
	createFailureDomain, createNodeId, createServiceName, createUpstreamId, type GateLevel, lowestPriority, type Target,
} from '@fireflyglade/model';

export const service = createServiceName('orders');

/** Creates a target on the node `node-<index>`. */
export function createTarget(index: number, domain = 'here', change: Partial<Target> = {}): Target {
	const node = createNodeId(`node-${index}`);
	return {
		upstream: createUpstreamId(service, node),
		service,
		node,
		domain: createFailureDomain(domain),
		gateUrl: `http://127.0.0.1:${10_000 + index}`,
		rpcAddress: `127.0.0.1:${20_000 + index}`,
		available: true,
		slots: 10,
		...change,
	};
}

/** Creates `count` targets in one failure domain. */
export function createTargets(count: number, domain = 'here', first = 0): Target[] {
	return Array.from({length: count}, (_, index) => createTarget(first + index, domain));
}

/** Creates a gate level with a limit of 10 and `inFlight` running requests. */
export function createLevel(inFlight: number, change: Partial<GateLevel> = {}): GateLevel {
	return {
		inFlight, limit: 10, queueLength: 0, shedPriority: lowestPriority + 1, ...change,
	};
}
