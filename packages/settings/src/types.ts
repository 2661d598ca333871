/**
The types of validated settings, with defaults applied.
*/

import type {FailureDomain, MemberId, NodeId} from '@fireflyglade/model';

/** Level and format of the log. */
export type LogSettings = {
	readonly level: 'error' | 'warn' | 'info' | 'debug';
	readonly format: 'json' | 'people';
};

/** How processes of the fleet authenticate each other: by a shared token or by mutual TLS. */
export type FleetSecuritySettings =
	| {readonly kind: 'token'; readonly tokenFile: string}
	| {readonly kind: 'mutual-tls'; readonly authorityFile: string; readonly certificateFile: string; readonly privateKeyFile: string};

/** What a process may use of its machine. The system is asked for what is absent. */
export type ResourceSettings = {
	/** Memory of the process in bytes. */
	readonly memoryBytes?: number;
	/** Descriptors that the process may have open. */
	readonly maximumDescriptors?: number;
};

/** Limits for what callers may have read and unanswered at a listener. */
export type RequestBacklogLimits = {
	/** Requests of one connection that run at a time; while as many are unanswered, the connection is not read any further. */
	readonly maximumPipelinedRequests: number;
	/** Bytes of one connection's unanswered requests above which no further request is read from it. */
	readonly maximumPipelinedBytes: number;
	/** Unanswered requests of all connections above which no request is read behind an unanswered one, and a connection with more than `maximumPipelinedRequests` is closed. */
	readonly maximumUnansweredRequests: number;
	/** Bytes that the bodies of all unanswered requests may occupy; a request with a body beyond them is refused. */
	readonly maximumUnansweredBodyBytes: number;
	/** Bytes that wait on all connections that are not read; a connection beyond them is closed after the answers to what was read from it. */
	readonly maximumWaitingBytes: number;
};

/** Limits of the listener for callers. */
export type CallerLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly maximumPathBytes: number;
	readonly maximumConnections: number;
} & Partial<RequestBacklogLimits>;

/** Settings of a node. Addresses are `IP:port`; port 0 takes any free port. */
export type NodeSettings = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Address of the listener for callers. */
	readonly callersAddress: string;
	/** Address at which the gate of this node accepts calls from other nodes. */
	readonly gateAddress: string;
	/** Address of the RPC listener for the other processes of the fleet. */
	readonly rpcAddress: string;
	/** Loopback address at which the upstream registers itself. */
	readonly announceAddress: string;
	/** Loopback address of the listener for outgoing calls of the upstream. */
	readonly egressAddress: string;
	/** Address of the metrics, liveness and readiness endpoints. */
	readonly statusAddress: string;
	/** RPC addresses of control processes. */
	readonly control: readonly string[];
	/** RPC addresses of nodes through which this node joins the fleet. */
	readonly seeds: readonly string[];
	readonly security: FleetSecuritySettings;
	readonly limits: CallerLimits;
	readonly resources?: ResourceSettings;
	/** Milliseconds that running requests have to complete during a graceful shutdown. */
	readonly shutdownTimeoutMilliseconds: number;
	/** Milliseconds for which a stopping node still serves requests, so that callers and peers can switch to other nodes. The default is one second; at most half of the shutdown timeout is used. */
	readonly leaveNoticeMilliseconds?: number;
	readonly log: LogSettings;
	/** File to which trace spans are written; if absent, no spans are written. */
	readonly spanFile?: string;
};

/** A member of the replicated log of the control processes. */
export type ControlMemberSettings = {
	readonly member: MemberId;
	readonly rpcAddress: string;
};

/** Name, role and token file of an operator. */
export type OperatorTokenSettings = {
	readonly name: string;
	readonly role: 'operator' | 'viewer';
	readonly tokenFile: string;
};

/** Settings of a control process. Addresses are `IP:port`; port 0 takes any free port. */
export type ControlSettings = {
	readonly member: MemberId;
	readonly domain: FailureDomain;
	readonly dataFolder: string;
	/** Address of the HTTP listener for statements of operators. */
	readonly operatorAddress: string;
	readonly rpcAddress: string;
	/** Initial members, including this one. */
	readonly members: readonly ControlMemberSettings[];
	/** True if the replicated log already exists and this process waits until it is added as a member. */
	readonly join: boolean;
	readonly operators: readonly OperatorTokenSettings[];
	readonly resources?: ResourceSettings;
	readonly security: FleetSecuritySettings;
	readonly shutdownTimeoutMilliseconds: number;
	readonly log: LogSettings;
};
