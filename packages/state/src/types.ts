/**
Types of the state machine. It applies commands and returns typed results; the same
commands give the same results on every control process.
*/

import type {
	AcceptedChange, CommandId, Configuration, ConfigurationChange, ConfigurationLabel, ConfigurationReplacement, JobKey, NodeId, RequestId, Revision, TeamName, UpstreamDeparture,
} from '@fireflyglade/model';

/** A command in the replicated log. */
export type Command =
	| {
		readonly kind: 'change';
		readonly commandId: CommandId;
		/**
		Digest of the operator's statement. It identifies a resend even if the statement
		would now translate to a different change. If absent, the changes are compared.
		*/
		readonly requestDigest?: string;
		readonly change: ConfigurationChange;
		/** If present, the change is refused unless the configuration is at this revision. */
		readonly expectedRevision?: Revision;
		readonly operator: string;
		/** Wall-clock milliseconds of the leader. */
		readonly at: number;
	}
	/** Replaces the whole configuration. A resend is identified by the digest of its document and is accepted again. */
	| {
		readonly kind: 'replace';
		readonly replacement: ConfigurationReplacement;
		/** The text as the operator sent it, kept so that it can be read back. */
		readonly document: Uint8Array;
		/** Digest of the document. */
		readonly digest: string;
		readonly operator: string;
		/** Wall-clock milliseconds of the leader. */
		readonly at: number;
	}
	/** Claims a job before it is sent to its upstream. */
	| {
		readonly kind: 'begin-claim';
		readonly claim: ClaimRequest;
		/** Wall-clock milliseconds of the leader. */
		readonly at: number;
	}
	/** Records the outcome of a claimed job. */
	| {
		readonly kind: 'finish-claim';
		readonly team: TeamName;
		readonly job: JobKey;
		readonly requestId: RequestId;
		readonly outcome: ClaimOutcome;
		/** Wall-clock milliseconds of the leader. */
		readonly at: number;
	}
	/** Records that an upstream takes no new work, before this is acknowledged to it. */
	| {
		readonly kind: 'record-departure';
		readonly departure: UpstreamDeparture;
		/** Wall-clock milliseconds of the leader. */
		readonly at: number;
	};

/**
A request of a gate, the part of a node that forwards calls to its upstream, for the
right to run a job. A job is a request with an idempotency key; it must not run twice.
*/
export type ClaimRequest = {
	readonly team: TeamName;
	readonly job: JobKey;
	readonly requestId: RequestId;
	readonly gate: NodeId;
	/**
	Random identifier that the process of the gate generates at its start. Only a
	resend by the same process is granted again, because a restarted process doesn't
	know which requests the previous one sent.
	*/
	readonly gateIncarnation: string;
	/** SHA-256 of method, path and body. It detects that a job key is reused for another request. */
	readonly fingerprint: string;
};

/** A response of an upstream, stored to answer resends of the same job. */
export type StoredResponse = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
};

/** The outcome of a claimed job. */
export type ClaimOutcome =
	| {readonly kind: 'answered'; readonly answer: StoredResponse}
	/** The response is too large to be stored. */
	| {readonly kind: 'answered-too-large'; readonly status: number}
	/** The gate sent no part of the request to the upstream: the job may be claimed again. */
	| {readonly kind: 'not-run'}
	/** The job may or may not have run. */
	| {readonly kind: 'unknown'};

/** The result of a claim request. */
export type ClaimResult =
	/** The gate may run the job. */
	| {readonly kind: 'granted'}
	/** Another request for the job is in progress. */
	| {readonly kind: 'running'}
	| {readonly kind: 'answered'; readonly answer: StoredResponse}
	/** The job was answered, but its response is no longer stored or was too large. */
	| {readonly kind: 'answer-dropped'; readonly status: number}
	/** The job may or may not have run. */
	| {readonly kind: 'outcome-unknown'}
	/** The job key was used for a different request. */
	| {readonly kind: 'mismatch'}
	/** The maximum number of claims is reached: the job did not run and may be claimed later. */
	| {readonly kind: 'table-full'};

/** Why a change was refused. */
export type ChangeRefusal =
	/** Another change was accepted first; `winner` is the change that led to the current revision. */
	| {readonly kind: 'revision-conflict'; readonly expected: Revision; readonly actual: Revision; readonly winner: AcceptedChange | undefined}
	/** A replacement is based on a configuration with another label than the current one. */
	| {readonly kind: 'label-conflict'; readonly expected: ConfigurationLabel; readonly actual: ConfigurationLabel}
	| {readonly kind: 'already-exists'; readonly what: string}
	| {readonly kind: 'not-found'; readonly what: string}
	| {readonly kind: 'invalid'; readonly what: string};

/** The result of a command. A resend gets the result of the first execution. */
export type CommandResult =
	| {readonly kind: 'changed'; readonly revision: Revision}
	| {readonly kind: 'refused'; readonly refusal: ChangeRefusal}
	| {readonly kind: 'claim'; readonly result: ClaimResult}
	| {readonly kind: 'claim-finished'}
	| {readonly kind: 'departure-recorded'};

/** An accepted replacement of the whole configuration. */
export type AcceptedReplacement = {
	readonly digest: string;
	readonly label: ConfigurationLabel;
	readonly revision: Revision;
};

/** The replicated state machine of a control process. */
export type StateMachine = {
	apply(command: Command): CommandResult;
	configuration(): Configuration;
	/** The accepted changes after `revision`, oldest first; undefined if they are no longer retained. */
	changesAfter(revision: Revision): readonly AcceptedChange[] | undefined;
	/** The result of the first execution of a command; undefined if it is unknown or no longer retained. */
	resultOf(commandId: CommandId): CommandResult | undefined;
	/** The retained departures of upstreams at an address. */
	departuresAt(address: string): readonly UpstreamDeparture[];
	/** The text of the last accepted replacement of the whole configuration. */
	document(): Uint8Array | undefined;
	/** Serializes the state for a snapshot. */
	save(): Uint8Array;
};
