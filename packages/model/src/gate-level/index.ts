/**
What a gate tells others about its load. It rides back on each answer and in gossip.
*/

import type {
	FailureDomain, NodeId, ServiceName, UpstreamId,
} from '../identifiers/index.js';

/** The load of a gate at one moment. */
export type GateLevel = {
	/** Requests that the upstream runs now. */
	readonly inFlight: number;
	/** Requests that the gate lets run at once. */
	readonly limit: number;
	/** Requests that wait at the gate. */
	readonly queueLength: number;
	/** The gate sheds requests of this priority and of less important ones; 100 if it sheds none. */
	readonly shedPriority: number;
};

/** An upstream as other nodes know it. */
export type Target = {
	readonly upstream: UpstreamId;
	readonly service: ServiceName;
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Base URL of the gate listener, `http://address:port`. */
	readonly gateUrl: string;
	/** `address:port` of the listener for connections that carry many calls; calls go by HTTP if absent. */
	readonly channelAddress?: string;
	/** `address:port` of the node's RPC listener. */
	readonly rpcAddress: string;
	/** False if the upstream leaves or its node refuses work as it shuts down: it gets no new work. */
	readonly available: boolean;
	/** True while the node is about to shut down and still takes work: it gets new work only if no other target does. */
	readonly stopping?: boolean;
	/** Slots as announced by the upstream. */
	readonly slots: number;
};
