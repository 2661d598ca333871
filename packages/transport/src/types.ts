/**
Types and messages of RPC between the system's processes. Methods are typed and run
over frame connections or gRPC with a MessagePack codec. Callers authenticate with a
fleet token or mutual TLS.
*/

import type {
	ConfigurationUpdate, FailureDomain, GateLevel, NodeId, RequestId, Revision, Target, TeamName, UpstreamDeparture,
} from '@fireflyglade/model';

/** A method of a service, with the types of its request and response. */
export type RpcMethod<Request, Response> = {
	readonly service: string;
	readonly name: string;
	/** Never set; carries the types of the messages. */
	readonly messageTypes?: (request: Request) => Response;
};

/** Credentials with which processes prove that they belong to the fleet. */
export type FleetCredentials =
	| {readonly kind: 'token'; readonly token: string}
	| {readonly kind: 'mutual-tls'; readonly authority: Uint8Array; readonly certificate: Uint8Array; readonly privateKey: Uint8Array};

/** A server that answers remote calls. */
export type RpcServer = {
	handle<Request, Response>(method: RpcMethod<Request, Response>, handler: (request: Request) => Promise<Response>): void;
	/** Listens on `host:port` and returns the bound `host:port`; port 0 selects a free port. */
	listen(address: string): Promise<string>;
	close(): Promise<void>;
};

/** A client that makes remote calls; it keeps one connection for each address. */
export type RpcClient = {
	/**
	Calls a method of the server at `address`.

	@throws {RpcError} The call failed or timed out.
	*/
	call<Request, Response>(method: RpcMethod<Request, Response>, address: string, request: Request, options: RpcCallOptions): Promise<Response>;
	close(): void;
};

/** Options of one remote call. */
export type RpcCallOptions = {
	readonly timeoutMilliseconds: number;
};

/** A node's full report to a control process. The response is a long poll: it returns as soon as a newer configuration is accepted. */
export type NodeReport = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	readonly revision: Revision;
	readonly rpcAddress: string;
	readonly callersUrl: string;
	readonly target?: Target;
	readonly level?: GateLevel;
	readonly teams: readonly TeamRequestCounts[];
	/** Milliseconds for which the control process may delay the response while no newer revision is accepted. */
	readonly waitMilliseconds: number;
	/** Nodes that report through this node, with their revisions. */
	readonly relayed: ReadonlyArray<{readonly node: NodeId; readonly revision: Revision}>;
};

/** A report of a node whose last full report to the same control process still holds, about a tenth of its size. */
export type BriefNodeReport = {
	readonly isBrief: true;
	readonly node: NodeId;
	readonly revision: Revision;
	/** As in `NodeReport`. */
	readonly waitMilliseconds: number;
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

/** A control process's response to a report. */
export type ReportResponse = {
	/** Absent if no configuration is newer than the reported revision. */
	readonly update?: ConfigurationUpdate;
	/** True if this control process was recently in contact with a quorum. */
	readonly quorum: boolean;
	/** True if a quorum confirmed, after the report had arrived, that the node's configuration is the newest once it has applied this response. */
	readonly confirmed?: boolean;
	/** RPC addresses of some recently active nodes, through which the node can join the fleet. */
	readonly peers?: readonly string[];
	/** RPC addresses of the control processes. */
	readonly control?: readonly string[];
	/** Failure domain of the control process, if it is known there. */
	readonly domain?: FailureDomain;
	/** True if the report was brief and the control process has no full report of the node. */
	readonly needsFullReport?: boolean;
};

/** Asks a gate for the progress of a request whose connection broke. */
export type OutcomeRequest = {
	readonly requestId: RequestId;
	/** Milliseconds since the request was sent. A gate that started later can't tell whether its previous process received the request. */
	readonly sentMillisecondsAgo: number;
};

/** Progress of a request at a gate. Once asked about a request that it has never received, a gate rejects that request id. */
export type RequestProgress = 'not-run' | 'running' | 'finished' | 'unknown';

/** A gate's response about a request. */
export type OutcomeResponse = {
	readonly progress: RequestProgress;
};

/** Sends the report of a node to a control process. */
export const reportMethod: RpcMethod<NodeReport | BriefNodeReport, ReportResponse> = {service: 'control', name: 'report'};

/** Asks a gate about a request whose connection broke. */
export const outcomeMethod: RpcMethod<OutcomeRequest, OutcomeResponse> = {service: 'node', name: 'outcome'};

/** A job claim that a gate begins or finishes. */
export type ClaimCall = {
	/** A `begin-claim` or `finish-claim` command, encoded by the state package. */
	readonly command: Uint8Array;
};

/** The result of a claim call. */
export type ClaimCallResponse =
	/** A result of the state machine, encoded with the message codec. */
	| {readonly kind: 'result'; readonly result: Uint8Array}
	/** No quorum accepted the command in time; it may still be applied. */
	| {readonly kind: 'no-quorum'};

/** Sends the claim of a gate; any control process accepts it and forwards it to the leader. */
export const claimMethod: RpcMethod<ClaimCall, ClaimCallResponse> = {service: 'control', name: 'claim'};

/** The departure of the upstream beside a node. */
export type DepartureCall = {
	readonly departure: UpstreamDeparture;
};

/** The result of recording a departure. */
export type DepartureCallResponse =
	/** The departure is committed to the replicated log. */
	| {readonly kind: 'recorded'}
	/** No quorum accepted the departure in time; it may still be recorded. */
	| {readonly kind: 'no-quorum'};

/** Records the departure of an upstream; any control process accepts it and forwards it to the leader. */
export const recordDepartureMethod: RpcMethod<DepartureCall, DepartureCallResponse> = {service: 'control', name: 'record-departure'};

/** Asks for the departures of upstreams at an address. */
export type DepartureQuestion = {
	readonly address: string;
};

/** The departures of upstreams at an address. */
export type DepartureAnswer =
	| {readonly kind: 'known'; readonly departures: readonly UpstreamDeparture[]}
	/** No quorum confirmed that the control process knows all departures. */
	| {readonly kind: 'no-quorum'};

/** Looks up the departures at an address. */
export const findDeparturesMethod: RpcMethod<DepartureQuestion, DepartureAnswer> = {service: 'control', name: 'find-departures'};
