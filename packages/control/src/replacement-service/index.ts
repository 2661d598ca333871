/**
Replaces the whole configuration and reads the current one.
*/

import {createHash} from 'node:crypto';
import type {Clock, ConfigurationReplacement, Revision} from '@fireflyglade/model';
import type {CommandProposer} from '../command-proposer/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';
import {ChangeRefusedError} from '../statement-service/index.js';

/** Dependencies of the replacement service. */
export type ReplacementServiceOptions = {
	readonly log: ReplicatedLog;
	readonly proposer: CommandProposer;
	readonly clock: Clock;
};

/** A request to replace the whole configuration. */
export type ReplacementRequest = {
	readonly replacement: ConfigurationReplacement;
	/** The document as the operator sent it; a repeated request is recognized by its digest. */
	readonly document: Uint8Array;
	readonly operator: string;
};

/** Replaces the whole configuration and reads the current one. */
export class ReplacementService {
	readonly #options: ReplacementServiceOptions;

	constructor(options: ReplacementServiceOptions) {
		this.#options = options;
	}

	/**
	Replaces the whole configuration. The call is idempotent: an accepted document that is sent again is accepted again.

	@returns The revision at which the configuration was accepted.
	@throws {ChangeRefusedError} The configuration conflicts with a concurrent change, or it is invalid.
	@throws {NoQuorumError} The command was not committed in time; it may still be accepted.
	*/
	async replace({replacement, document, operator}: ReplacementRequest): Promise<Revision> {
		const result = await this.#options.proposer.submit({
			kind: 'replace',
			replacement,
			document,
			digest: createHash('sha256').update(document).digest('hex'),
			operator,
			at: this.#options.clock.wallNow(),
		});
		if (result.kind === 'refused') {
			throw new ChangeRefusedError(result.refusal);
		}

		if (result.kind !== 'changed') {
			throw new ChangeRefusedError({kind: 'invalid', what: 'the command was not answered as a replacement'});
		}

		return result.revision;
	}

	/**
	Reads the current configuration as its document was sent (a linearizable read).

	@returns The document, or `undefined` if the configuration was never replaced.
	@throws {NoQuorumError} No quorum confirmed the read.
	*/
	async read(): Promise<Uint8Array | undefined> {
		await this.#options.log.read();
		return this.#options.log.stateMachine().document();
	}
}
