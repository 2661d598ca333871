/**
The types of the settings files, as the programs see them once checked.
*/

import type {FailureDomain, MemberId, NodeId} from '@fireflyglade/model';

/** How logs are written. */
export type LogSettings = {
	readonly level: 'error' | 'warn' | 'info' | 'debug';
	readonly format: 'json' | 'people';
};

/** How processes of the fleet let each other in; exactly one kind. */
export type FleetSecuritySettings =
	| {readonly kind: 'token'; readonly tokenFile: string}
	| {readonly kind: 'mutual-tls'; readonly authorityFile: string; readonly certificateFile: string; readonly privateKeyFile: string};

/** Limits of the callers' listener. */
export type CallerLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly maximumPathBytes: number;
	readonly maximumConnections: number;
};

/** Settings of a node. Addresses are `host:port`; port 0 takes any free port. */
export type NodeSettings = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Address for callers. */
	readonly callersAddress: string;
	/** Address for other nodes' calls to this node's gate. */
	readonly gateAddress: string;
	/** Address for RPC between nodes and control. */
	readonly rpcAddress: string;
	/** Loopback address at which the upstream announces itself. */
	readonly announceAddress: string;
	/** Loopback address for calls that the upstream makes. */
	readonly egressAddress: string;
	/** Address of metrics, liveness and readiness. */
	readonly statusAddress: string;
	/** RPC addresses of control processes. */
	readonly control: readonly string[];
	/** RPC addresses of nodes to join by. */
	readonly seeds: readonly string[];
	readonly security: FleetSecuritySettings;
	readonly limits: CallerLimits;
	/** Milliseconds that running requests get at a graceful shutdown. */
	readonly shutdownTimeoutMilliseconds: number;
	/** Milliseconds for which a node that stops goes on serving, so that callers and peers can leave; a second if absent. */
	readonly leaveNoticeMilliseconds?: number;
	readonly log: LogSettings;
	/** File for spans; none are written if absent. */
	readonly spanFile?: string;
};

/** A member of the control processes' replicated log. */
export type ControlMemberSettings = {
	readonly member: MemberId;
	readonly rpcAddress: string;
};

/** An operator's token. */
export type OperatorTokenSettings = {
	readonly name: string;
	readonly role: 'operator' | 'viewer';
	readonly tokenFile: string;
};

/** Settings of a control process. */
export type ControlSettings = {
	readonly member: MemberId;
	readonly domain: FailureDomain;
	readonly dataFolder: string;
	/** Address for operators' statements over HTTP. */
	readonly operatorAddress: string;
	readonly rpcAddress: string;
	/** Members at the first start, this one among them. */
	readonly members: readonly ControlMemberSettings[];
	/** True if this process joins a log that already exists: it waits until it is added. */
	readonly join: boolean;
	readonly operators: readonly OperatorTokenSettings[];
	readonly security: FleetSecuritySettings;
	readonly shutdownTimeoutMilliseconds: number;
	readonly log: LogSettings;
};
