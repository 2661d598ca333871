/**
The contract of remote calls between the system's processes: typed methods over
frame connections or gRPC with a MessagePack codec, let in by a fleet token or mutual TLS.
*/

import type {
	ConfigurationUpdate, FailureDomain, GateLevel, NodeId, RequestId, Revision, Target, TeamName,
} from '@fireflyglade/model';

/** A method of a service, with the types of its messages. */
export type RpcMethod<Request, Response> = {
	readonly service: string;
	readonly name: string;
	/** Never set; carries the types of the messages. */
	readonly messageTypes?: (request: Request) => Response;
};

/** How processes prove that they belong to the fleet. */
export type FleetCredentials =
	| {readonly kind: 'token'; readonly token: string}
	| {readonly kind: 'mutual-tls'; readonly authority: Uint8Array; readonly certificate: Uint8Array; readonly privateKey: Uint8Array};

/** Answers remote calls. */
export type RpcServer = {
	handle<Request, Response>(method: RpcMethod<Request, Response>, handler: (request: Request) => Promise<Response>): void;
	/** Listens on `host:port`, port 0 for any, and returns `host:port`. */
	listen(address: string): Promise<string>;
	close(): Promise<void>;
};

/** Makes remote calls; connections are kept for each address. */
export type RpcClient = {
	call<Request, Response>(method: RpcMethod<Request, Response>, address: string, request: Request, options: RpcCallOptions): Promise<Response>;
	close(): void;
};

/** Options of one remote call. */
export type RpcCallOptions = {
	readonly timeoutMilliseconds: number;
};

/** What a node reports to a control process about every second; the answer brings what is new as soon as it is accepted. */
export type NodeReport = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	readonly revision: Revision;
	readonly rpcAddress: string;
	readonly callersUrl: string;
	readonly target?: Target;
	readonly level?: GateLevel;
	readonly teams: readonly TeamRequestCounts[];
	/** Milliseconds that the control process may hold the answer until something newer than the revision is accepted. */
	readonly waitMilliseconds: number;
	/** Nodes for which this relay speaks, with their revisions. */
	readonly relayed: ReadonlyArray<{readonly node: NodeId; readonly revision: Revision}>;
};

/** Counts of one team at one node since the node started. */
export type TeamRequestCounts = {
	readonly team: TeamName;
	readonly offered: number;
	readonly succeeded: number;
	readonly failed: number;
	readonly refusedByRate: number;
	readonly refusedByLoad: number;
};

/** What a control process answers to a report. */
export type ReportAnswer = {
	/** Absent if nothing is newer than the reported revision. */
	readonly update?: ConfigurationUpdate;
	/** True if this control process has heard its quorum lately. */
	readonly quorum: boolean;
	/** True if a quorum confirmed, after the report had come, that nothing is newer than what this answer leaves the node with. */
	readonly confirmed?: boolean;
	/** RPC addresses of some nodes that were heard lately, to join by. */
	readonly peers?: readonly string[];
	/** RPC addresses of the control processes. */
	readonly control?: readonly string[];
};

/** Asks a gate what became of a request whose connection broke. */
export type OutcomeRequest = {
	readonly requestId: RequestId;
	/** Milliseconds since the request was sent; a gate that started later can't tell whether an earlier run of it saw the request. */
	readonly sentMillisecondsAgo: number;
};

/** How far a request came at a gate. A gate that never saw it refuses the id from then on. */
export type RequestProgress = 'not-run' | 'running' | 'finished' | 'unknown';

/** What a gate answers about a request. */
export type OutcomeAnswer = {
	readonly progress: RequestProgress;
};

/** The report of a node to a control process. */
export const reportMethod: RpcMethod<NodeReport, ReportAnswer> = {service: 'control', name: 'report'};

/** The question to a gate about a request whose connection broke. */
export const outcomeMethod: RpcMethod<OutcomeRequest, OutcomeAnswer> = {service: 'node', name: 'outcome'};

/** A claim that a gate begins or finishes. */
export type ClaimCall = {
	/** A `begin-claim` or `finish-claim` command, encoded by the state package. */
	readonly command: Uint8Array;
};

/** What became of a claim call. */
export type ClaimCallAnswer =
	/** A result of the state machine, encoded by the codec of messages. */
	| {readonly kind: 'result'; readonly result: Uint8Array}
	/** No quorum took the command in time; it may still be applied. */
	| {readonly kind: 'no-quorum'};

/** The claim of a gate; any control process takes it and passes it on to the leader. */
export const claimMethod: RpcMethod<ClaimCall, ClaimCallAnswer> = {service: 'control', name: 'claim'};
