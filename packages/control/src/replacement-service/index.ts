/**
Puts whole configurations in place and reads them back.
*/

import {createHash} from 'node:crypto';
import type {Clock, ConfigurationReplacement, Revision} from '@fireflyglade/model';
import type {CommandProposer} from '../command-proposer/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';
import {ChangeRefusedError} from '../statement-service/index.js';

/** What the service needs. */
export type ReplacementServiceOptions = {
	readonly log: ReplicatedLog;
	readonly proposer: CommandProposer;
	readonly clock: Clock;
};

/** A whole configuration as an operator sent it. */
export type ReplacementRequest = {
	readonly replacement: ConfigurationReplacement;
	/** The text as it was sent; a resend is known by it. */
	readonly document: Uint8Array;
	readonly operator: string;
};

/** Puts whole configurations in place and reads them back. */
export class ReplacementService {
	readonly #options: ReplacementServiceOptions;

	constructor(options: ReplacementServiceOptions) {
		this.#options = options;
	}

	/**
	Puts a whole configuration in place; a resend of an accepted one is accepted again.

	@returns The revision at which it is accepted.
	@throws {ChangeRefusedError} It lost a race, or it is invalid.
	@throws {NoQuorumError} No quorum took it in time; it may still be accepted.
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
	Reads the newest configuration as it was sent (a linearizable read).

	@returns The text, or undefined if none was ever put in place.
	@throws {NoQuorumError} No quorum confirmed which is the newest.
	*/
	async read(): Promise<Uint8Array | undefined> {
		await this.#options.log.read();
		return this.#options.log.stateMachine().document();
	}
}
