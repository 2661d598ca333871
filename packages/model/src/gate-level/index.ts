/**
The load that a gate reports to other nodes, with each response and through gossip,
and the description of an upstream that other nodes use to send requests to it.
*/

import type {
	FailureDomain, NodeId, ServiceName, UpstreamId,
} from '../identifiers/index.js';

/** The load of a gate at one moment. */
export type GateLevel = {
	/** Requests that the upstream is running. */
	readonly inFlight: number;
	/** Concurrency limit of the gate. */
	readonly limit: number;
	/** Requests that are waiting at the gate. */
	readonly queueLength: number;
	/** The gate sheds requests of this and all less important priorities; 100 if it sheds none. */
	readonly shedPriority: number;
	/** Expected milliseconds that the upstream works on a request like the one with whose answer the load is reported, at the present pace and without queueing; absent if unknown. */
	readonly serviceMilliseconds?: number;
	/** Factor by which work at the upstream takes longer than usual at present; absent if the upstream doesn't state it. */
	readonly pace?: number;
};

/** The description of an upstream that other nodes use to send requests to it. */
export type Target = {
	readonly upstream: UpstreamId;
	readonly service: ServiceName;
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Base URL of the gate listener, `http://address:port`. */
	readonly gateUrl: string;
	/** `address:port` of the listener for connections that carry many calls; if absent, calls use HTTP. */
	readonly channelAddress?: string;
	/** `address:port` of the node's RPC listener. */
	readonly rpcAddress: string;
	/** False if the upstream is leaving or its node rejects requests during shutdown; it gets no new requests. */
	readonly available: boolean;
	/** True while the node prepares to shut down and still accepts requests; it gets new requests only if no other target is available. */
	readonly stopping?: boolean;
	/** Number of slots that the upstream has announced: an upper bound of the requests that it runs at once. */
	readonly slots: number;
};
