/**
The contract of the state machine: commands in, typed results out, the same on
every control process.
*/

import type {
	AcceptedChange, CommandId, Configuration, ConfigurationChange, ConfigurationLabel, ConfigurationReplacement, JobKey, NodeId, RequestId, Revision, TeamName,
} from '@fireflyglade/model';

/** A command as it stands in the replicated log. */
export type Command =
	| {
		readonly kind: 'change';
		readonly commandId: CommandId;
		/**
		Digest of the operator's statement. A resend is known by it even if the statement
		would now be translated into another change; without it the changes are compared.
		*/
		readonly requestDigest?: string;
		readonly change: ConfigurationChange;
		/** The change is refused unless the configuration is at this revision. */
		readonly expectedRevision?: Revision;
		readonly operator: string;
		/** Wall-clock milliseconds of the leader. */
		readonly at: number;
	}
	/** Puts a whole configuration in place. A resend is known by its document and is accepted again. */
	| {
		readonly kind: 'replace';
		readonly replacement: ConfigurationReplacement;
		/** The text as the operator sent it, to be read back. */
		readonly document: Uint8Array;
		/** Digest of the document. */
		readonly digest: string;
		readonly operator: string;
		readonly at: number;
	}
	| {
		readonly kind: 'begin-claim';
		readonly claim: ClaimRequest;
		readonly at: number;
	}
	| {
		readonly kind: 'finish-claim';
		readonly team: TeamName;
		readonly job: JobKey;
		readonly requestId: RequestId;
		readonly outcome: ClaimOutcome;
		readonly at: number;
	};

/** The wish of a gate to run one job. */
export type ClaimRequest = {
	readonly team: TeamName;
	readonly job: JobKey;
	readonly requestId: RequestId;
	readonly gate: NodeId;
	/**
	Random identifier that the gate's process makes at its start. Only a resend by
	the same process is granted again: a gate that restarted doesn't know what its
	predecessor sent.
	*/
	readonly gateIncarnation: string;
	/** SHA-256 of method, path and body, so that another job can't pass under the same key. */
	readonly fingerprint: string;
};

/** An answer kept for resends. */
export type StoredResponse = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
};

/** How a claimed job ended. */
export type ClaimOutcome =
	| {readonly kind: 'answered'; readonly answer: StoredResponse}
	/** Answered, but too large to be kept. */
	| {readonly kind: 'answered-too-large'; readonly status: number}
	/** The gate never began to write the request: the job may be claimed again. */
	| {readonly kind: 'not-run'}
	| {readonly kind: 'unknown'};

/** The result of a wish to claim. */
export type ClaimResult =
	| {readonly kind: 'granted'}
	| {readonly kind: 'running'}
	| {readonly kind: 'answered'; readonly answer: StoredResponse}
	| {readonly kind: 'answer-dropped'; readonly status: number}
	| {readonly kind: 'outcome-unknown'}
	/** The key was used for another request. */
	| {readonly kind: 'mismatch'}
	/** The claims kept have reached their bound: the job was not run and may be claimed later. */
	| {readonly kind: 'table-full'};

/** Why a change was refused. */
export type ChangeRefusal =
	/** Another change came first; `winner` is the change that led to the present revision. */
	| {readonly kind: 'revision-conflict'; readonly expected: Revision; readonly actual: Revision; readonly winner: AcceptedChange | undefined}
	/** A whole configuration builds on another one than that in place. */
	| {readonly kind: 'label-conflict'; readonly expected: ConfigurationLabel; readonly actual: ConfigurationLabel}
	| {readonly kind: 'already-exists'; readonly what: string}
	| {readonly kind: 'not-found'; readonly what: string}
	| {readonly kind: 'invalid'; readonly what: string};

/** The result of a command; a resend gets the first result again. */
export type CommandResult =
	| {readonly kind: 'changed'; readonly revision: Revision}
	| {readonly kind: 'refused'; readonly refusal: ChangeRefusal}
	| {readonly kind: 'claim'; readonly result: ClaimResult}
	| {readonly kind: 'claim-finished'};

/** A whole configuration that was accepted. */
export type AcceptedReplacement = {
	readonly digest: string;
	readonly label: ConfigurationLabel;
	readonly revision: Revision;
};

/** The state machine of a control process. */
export type StateMachine = {
	apply(command: Command): CommandResult;
	configuration(): Configuration;
	/** The accepted changes after `revision`, or undefined if they are no longer kept. */
	changesAfter(revision: Revision): readonly AcceptedChange[] | undefined;
	/** The first result of a command, if it is still kept. */
	resultOf(commandId: CommandId): CommandResult | undefined;
	/** The text of the last whole configuration that was accepted. */
	document(): Uint8Array | undefined;
	save(): Uint8Array;
};
