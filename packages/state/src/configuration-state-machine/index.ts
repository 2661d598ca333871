/**
The state that all members of the replicated log come to by applying the same
commands: the configuration, its latest changes, the results of the latest
commands, and the claims.

It has no clock. Its own time moves with the times in the commands, by at most
one minute a command and never back, so that a leader whose clock jumps can't
make claims expire early.
*/

import {
	UnreachableError, emptyConfiguration, initialLabel,
	type AcceptedChange, type CallerBounds, type CommandId, type Configuration, type ConfigurationLabel, type Revision,
} from '@fireflyglade/model';
import {ClaimTable, type ClaimLimits, type ClaimRecord} from '../_lib/claim-table.js';
import {CommandResults, digestChange, type KeptResult} from '../_lib/command-results.js';
import {decodeValue, encodeValue} from '../_lib/codec.js';
import {EncodingCache} from '../_lib/encoding-cache.js';
import {WorkingConfiguration} from '../_lib/working-configuration.js';
import {StateFormatError} from '../errors/index.js';
import type {
	AcceptedReplacement, ChangeRefusal, Command, CommandResult, StateMachine,
} from '../types.js';

/** Bounds of a state machine; they must be the same on every member of the log. */
export type StateMachineOptions = ClaimLimits & {
	/** Accepted changes kept for nodes that lag. */
	readonly maximumRetainedChanges: number;
	/** Results kept for resends of operators' commands. */
	readonly maximumRetainedResults: number;
};

/** The amounts that a state machine holds, for metrics. */
export type StateMachineSizes = {
	readonly claims: number;
	readonly storedResponseBytes: number;
	readonly changes: number;
};

const maximumTimeStepMilliseconds = 60_000;

/** The bounds that the programs use. */
export const defaultStateMachineOptions: StateMachineOptions = {
	maximumRetainedChanges: 20_000,
	maximumRetainedResults: 20_000,
	maximumClaims: 100_000,
	claimRetentionMilliseconds: 86_400_000,
	outcomeTimeoutMilliseconds: 3_600_000,
	maximumTotalResponseBytes: 67_108_864,
	maximumResponseBytes: 65_536,
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
	/** The next three are absent in states that were saved before configurations were replaced as a whole. */
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
};

/**
The state machine of a control process.

@example
```ts
const machine = new ConfigurationStateMachine();
machine.apply({kind: 'change', commandId, change, operator: 'anna', at: Date.now()});
ConfigurationStateMachine.restore(machine.save()); // in the same state
```
*/
export class ConfigurationStateMachine implements StateMachine {
	/**
	Makes a state machine from what `save` gave.

	@throws {StateFormatError} The bytes are damaged or of an unknown version.
	*/
	static restore(bytes: Uint8Array, options: Partial<StateMachineOptions> = {}): ConfigurationStateMachine {
		const saved = decodeValue(bytes) as SavedState | undefined;
		if (saved?.kind !== 'state') {
			throw new StateFormatError('the bytes hold no saved state');
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
	readonly #changeEncodings = new EncodingCache<AcceptedChange>();
	readonly #resultEncodings = new EncodingCache<KeptResult>();
	readonly #claimEncodings = new EncodingCache<ClaimRecord>();
	#elapsedMilliseconds = 0;
	#lastAt: number | undefined;
	#document: Uint8Array | undefined;
	/** The accepted whole configurations by their digests, the newest last. */
	readonly #replacements = new Map<string, AcceptedReplacement>();

	constructor(options: Partial<StateMachineOptions> = {}) {
		this.#options = {...defaultStateMachineOptions, ...options};
		this.#results = new CommandResults(this.#options.maximumRetainedResults);
		this.#claims = new ClaimTable(this.#options);
	}

	apply(command: Command): CommandResult {
		this.#moveTime(command.at);
		switch (command.kind) {
			case 'change': {
				return this.#applyOnce(command);
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

	/** The accepted changes that are still kept, oldest first. */
	retainedChanges(): readonly AcceptedChange[] {
		return this.#changes;
	}

	resultOf(commandId: CommandId): CommandResult | undefined {
		return this.#results.get(commandId)?.result;
	}

	document(): Uint8Array | undefined {
		return this.#document;
	}

	/** The amounts held now. */
	sizes(): StateMachineSizes {
		return {claims: this.#claims.size, storedResponseBytes: this.#claims.answerBytes, changes: this.#changes.length};
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
		this.#elapsedMilliseconds = saved.elapsedMilliseconds;
		this.#lastAt = saved.lastAt;
		this.#document = saved.document;
		for (const replacement of saved.replacements ?? []) {
			this.#replacements.set(replacement.digest, replacement);
		}
	}

	#moveTime(at: number): void {
		const step = at - (this.#lastAt ?? at);
		this.#elapsedMilliseconds += Math.min(Math.max(step, 0), maximumTimeStepMilliseconds);
		this.#lastAt = at;
	}

	#applyOnce(command: ChangeCommand): CommandResult {
		const requestDigest = command.requestDigest ?? digestChange(command.change);
		const kept = this.#results.get(command.commandId);
		if (kept === undefined) {
			const result = this.#change(command);
			this.#results.add({commandId: command.commandId, requestDigest, result});
			return result;
		}

		return kept.requestDigest === requestDigest
			? kept.result
			: refused({kind: 'invalid', what: `command id ${command.commandId} was used for another request`});
	}

	#change(command: ChangeCommand): CommandResult {
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

		this.#keepChange({
			revision: nextRevision, change: command.change, acceptedAt: command.at, operator: command.operator,
		});
		return {kind: 'changed', revision: nextRevision};
	}

	/**
	A resend of an accepted configuration is accepted again. Nodes get a whole
	configuration after a replacement, so the changes before it are not kept.
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

	#keepChange(change: AcceptedChange): void {
		this.#changes.push(change);
		// The surplus is cut in large pieces, since a cut moves all that is left.
		if (this.#changes.length > this.#options.maximumRetainedChanges * 2) {
			this.#changes = this.#changes.slice(-this.#options.maximumRetainedChanges);
		}
	}
}

function refused(refusal: ChangeRefusal): CommandResult {
	return {kind: 'refused', refusal};
}
