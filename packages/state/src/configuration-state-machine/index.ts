/**
The state that all members of the replicated log derive from the same commands: the
configuration, its most recent changes, the results of the most recent commands,
the job claims, and the departures of upstreams.

The state machine reads no clock. Its elapsed time advances with the timestamps of
the commands, by at most one minute per command and never backwards, so that a
leader whose clock jumps can't make claims expire early.
*/

import {
	UnreachableError, emptyConfiguration, initialLabel,
	type AcceptedChange, type CallerBounds, type CommandId, type Configuration, type ConfigurationLabel, type Revision, type UpstreamDeparture,
} from '@fireflyglade/model';
import {ClaimTable, type ClaimLimits, type ClaimRecord} from '../_lib/claim-table.js';
import {CommandResults, digestChange, type RetainedResult} from '../_lib/command-results.js';
import {decodeValue, encodeValue} from '../_lib/codec.js';
import {DepartureTable, type DepartureLimits, type DepartureRecord} from '../_lib/departure-table.js';
import {EncodingCache} from '../_lib/encoding-cache.js';
import {WorkingConfiguration} from '../_lib/working-configuration.js';
import {StateFormatError} from '../errors/index.js';
import type {
	AcceptedReplacement, ChangeRefusal, Command, CommandResult, StateMachine,
} from '../types.js';

/** Limits of a state machine. They must be the same on every member of the log. */
export type StateMachineOptions = ClaimLimits & DepartureLimits & {
	/** Accepted changes retained for nodes that lag behind. Up to twice as many are held before the list is trimmed to this number. */
	readonly maximumRetainedChanges: number;
	/** Results retained for resends of operators' commands; also the number of replacements retained for their resends. */
	readonly maximumRetainedResults: number;
};

/** The current sizes of a state machine, for metrics. */
export type StateMachineSizes = {
	readonly claims: number;
	readonly storedResponseBytes: number;
	readonly changes: number;
};

const maximumTimeStepMilliseconds = 60_000;

/** The limits that the control daemon uses. */
export const defaultStateMachineOptions: StateMachineOptions = {
	maximumRetainedChanges: 20_000,
	maximumRetainedResults: 20_000,
	maximumClaims: 100_000,
	claimRetentionMilliseconds: 86_400_000,
	outcomeTimeoutMilliseconds: 3_600_000,
	maximumTotalResponseBytes: 67_108_864,
	maximumResponseBytes: 65_536,
	maximumDepartures: 20_000,
	departureRetentionMilliseconds: 3_600_000,
};

type ChangeCommand = Extract<Command, {kind: 'change'}>;
type ReplaceCommand = Extract<Command, {kind: 'replace'}>;

type SavedConfiguration = {
	readonly revision: Revision;
	readonly teams: ReadonlyArray<readonly [never, never]>;
	readonly keys: ReadonlyArray<readonly [never, never]>;
	readonly routes: ReadonlyArray<readonly [never, never]>;
	readonly domains: ReadonlyArray<readonly [never, never]>;
	readonly drainedUpstreams: readonly never[];
	/** `label`, `services` and `callerBounds` are absent in states that were saved by versions without `replace` commands. */
	readonly label?: ConfigurationLabel;
	readonly services?: ReadonlyArray<readonly [never, never]>;
	readonly callerBounds?: CallerBounds;
};

type SavedState = {
	readonly kind: 'state';
	readonly configuration: SavedConfiguration;
	readonly changes: readonly Uint8Array[];
	readonly results: readonly Uint8Array[];
	readonly claims: readonly Uint8Array[];
	readonly elapsedMilliseconds: number;
	readonly lastAt: number | undefined;
	readonly document?: Uint8Array;
	readonly replacements?: readonly AcceptedReplacement[];
	/** Absent in states that were saved by versions without `record-departure` commands. */
	readonly departures?: readonly DepartureRecord[];
};

/**
The replicated state machine of a control process.

@example
```ts
const machine = new ConfigurationStateMachine();
machine.apply({kind: 'change', commandId, change, operator: 'anna', at: Date.now()});
ConfigurationStateMachine.restore(machine.save()); //=> A state machine with the same state
```
*/
export class ConfigurationStateMachine implements StateMachine {
	/**
	Creates a state machine from a state that was serialized by `save`.

	@throws {StateFormatError} The bytes are corrupt or have an unknown format version.
	*/
	static restore(bytes: Uint8Array, options: Partial<StateMachineOptions> = {}): ConfigurationStateMachine {
		const saved = decodeValue(bytes) as SavedState | undefined;
		if (saved?.kind !== 'state') {
			throw new StateFormatError('the bytes are not a saved state');
		}

		const machine = new ConfigurationStateMachine(options);
		machine.#restore(saved);
		return machine;
	}

	readonly #options: StateMachineOptions;
	#configuration = new WorkingConfiguration(emptyConfiguration);
	#changes: AcceptedChange[] = [];
	#results: CommandResults;
	#claims: ClaimTable;
	#departures: DepartureTable;
	readonly #changeEncodings = new EncodingCache<AcceptedChange>();
	readonly #resultEncodings = new EncodingCache<RetainedResult>();
	readonly #claimEncodings = new EncodingCache<ClaimRecord>();
	#elapsedMilliseconds = 0;
	#lastAt: number | undefined;
	#document: Uint8Array | undefined;
	/** The accepted replacements by the digest of their document, newest last. */
	readonly #replacements = new Map<string, AcceptedReplacement>();

	constructor(options: Partial<StateMachineOptions> = {}) {
		this.#options = {...defaultStateMachineOptions, ...options};
		this.#results = new CommandResults(this.#options.maximumRetainedResults);
		this.#claims = new ClaimTable(this.#options);
		this.#departures = new DepartureTable(this.#options);
	}

	apply(command: Command): CommandResult {
		this.#advanceTime(command.at);
		switch (command.kind) {
			case 'change': {
				return this.#applyChangeOnce(command);
			}

			case 'replace': {
				return this.#replace(command);
			}

			case 'begin-claim': {
				return {kind: 'claim', result: this.#claims.begin(command.claim, this.#elapsedMilliseconds)};
			}

			case 'finish-claim': {
				this.#claims.finish(command, this.#elapsedMilliseconds);
				return {kind: 'claim-finished'};
			}

			case 'record-departure': {
				this.#departures.record(command.departure, this.#elapsedMilliseconds);
				return {kind: 'departure-recorded'};
			}

			default: {
				throw new UnreachableError(command);
			}
		}
	}

	configuration(): Configuration {
		return this.#configuration.publish();
	}

	changesAfter(revision: Revision): readonly AcceptedChange[] | undefined {
		const missing = this.#configuration.revision - revision;
		if (missing < 0 || missing > this.#changes.length) {
			return undefined;
		}

		return missing === 0 ? [] : this.#changes.slice(-missing);
	}

	/** The retained accepted changes, oldest first. */
	retainedChanges(): readonly AcceptedChange[] {
		return this.#changes;
	}

	resultOf(commandId: CommandId): CommandResult | undefined {
		return this.#results.get(commandId)?.result;
	}

	departuresAt(address: string): readonly UpstreamDeparture[] {
		return this.#departures.at(address);
	}

	document(): Uint8Array | undefined {
		return this.#document;
	}

	/** The current sizes, for metrics. */
	sizes(): StateMachineSizes {
		return {claims: this.#claims.size, storedResponseBytes: this.#claims.storedResponseBytes, changes: this.#changes.length};
	}

	save(): Uint8Array {
		const configuration = this.#configuration.publish();
		return encodeValue({
			kind: 'state',
			configuration: {
				revision: configuration.revision,
				teams: [...configuration.teams],
				keys: [...configuration.keys],
				routes: [...configuration.routes],
				domains: [...configuration.domains],
				drainedUpstreams: [...configuration.drainedUpstreams],
				label: configuration.label,
				services: [...configuration.services],
				...(configuration.callerBounds === undefined ? {} : {callerBounds: configuration.callerBounds}),
			},
			changes: this.#changeEncodings.encodeAll(this.#changes),
			results: this.#resultEncodings.encodeAll(this.#results.all()),
			claims: this.#claimEncodings.encodeAll(this.#claims.records()),
			elapsedMilliseconds: this.#elapsedMilliseconds,
			lastAt: this.#lastAt,
			...(this.#document === undefined ? {} : {document: this.#document}),
			replacements: [...this.#replacements.values()],
			departures: this.#departures.records(),
		});
	}

	#restore(saved: SavedState): void {
		this.#configuration = new WorkingConfiguration({
			revision: saved.configuration.revision,
			teams: new Map(saved.configuration.teams),
			keys: new Map(saved.configuration.keys),
			routes: new Map(saved.configuration.routes),
			domains: new Map(saved.configuration.domains),
			drainedUpstreams: new Set(saved.configuration.drainedUpstreams),
			label: saved.configuration.label ?? initialLabel,
			services: new Map(saved.configuration.services),
			...(saved.configuration.callerBounds === undefined ? {} : {callerBounds: saved.configuration.callerBounds}),
		});
		this.#changes = [...this.#changeEncodings.decodeAll(saved.changes)];
		this.#results = new CommandResults(this.#options.maximumRetainedResults, this.#resultEncodings.decodeAll(saved.results));
		this.#claims = new ClaimTable(this.#options, this.#claimEncodings.decodeAll(saved.claims));
		this.#departures = new DepartureTable(this.#options, saved.departures);
		this.#elapsedMilliseconds = saved.elapsedMilliseconds;
		this.#lastAt = saved.lastAt;
		this.#document = saved.document;
		for (const replacement of saved.replacements ?? []) {
			this.#replacements.set(replacement.digest, replacement);
		}
	}

	#advanceTime(at: number): void {
		const step = at - (this.#lastAt ?? at);
		this.#elapsedMilliseconds += Math.min(Math.max(step, 0), maximumTimeStepMilliseconds);
		this.#lastAt = at;
	}

	/** Applies a change, or returns the result of the first execution if the command is a resend. */
	#applyChangeOnce(command: ChangeCommand): CommandResult {
		const requestDigest = command.requestDigest ?? digestChange(command.change);
		const retained = this.#results.get(command.commandId);
		if (retained === undefined) {
			const result = this.#applyChange(command);
			this.#results.add({commandId: command.commandId, requestDigest, result});
			return result;
		}

		return retained.requestDigest === requestDigest
			? retained.result
			: refused({kind: 'invalid', what: `command id ${command.commandId} was used for another request`});
	}

	#applyChange(command: ChangeCommand): CommandResult {
		const {revision} = this.#configuration;
		if (command.expectedRevision !== undefined && command.expectedRevision !== revision) {
			return refused({
				kind: 'revision-conflict', expected: command.expectedRevision, actual: revision, winner: this.#changes.at(-1),
			});
		}

		const nextRevision = (revision + 1) as Revision;
		const refusal = this.#configuration.apply(command.change, nextRevision);
		if (refusal !== undefined) {
			return refused(refusal);
		}

		this.#retainChange({
			revision: nextRevision, change: command.change, acceptedAt: command.at, operator: command.operator,
		});
		return {kind: 'changed', revision: nextRevision};
	}

	/**
	Replaces the whole configuration; a resend of an accepted replacement is accepted
	again. Nodes receive the whole configuration after a replacement, so the changes
	before it are not retained.
	*/
	#replace({replacement, document, digest}: ReplaceCommand): CommandResult {
		const accepted = this.#replacements.get(digest);
		if (accepted !== undefined) {
			return {kind: 'changed', revision: accepted.revision};
		}

		const revision = (this.#configuration.revision + 1) as Revision;
		const refusal = this.#configuration.replace(replacement, revision);
		if (refusal !== undefined) {
			return refused(refusal);
		}

		this.#document = document;
		this.#replacements.set(digest, {digest, label: replacement.label, revision});
		for (const oldest of this.#replacements.keys()) {
			if (this.#replacements.size <= this.#options.maximumRetainedResults) {
				break;
			}

			this.#replacements.delete(oldest);
		}

		this.#changes = [];
		return {kind: 'changed', revision};
	}

	#retainChange(change: AcceptedChange): void {
		this.#changes.push(change);
		// The list is trimmed only at twice the limit, because each trim copies all retained changes.
		if (this.#changes.length > this.#options.maximumRetainedChanges * 2) {
			this.#changes = this.#changes.slice(-this.#options.maximumRetainedChanges);
		}
	}
}

function refused(refusal: ChangeRefusal): CommandResult {
	return {kind: 'refused', refusal};
}
