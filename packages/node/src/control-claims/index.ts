/**
Claims of jobs over RPC: any control process takes a claim and passes it on to
the leader of the replicated log.
*/

import {FireflygladeError, type Clock} from '@fireflyglade/model';
import {
	encodeCommand,
	type ClaimOutcome, type ClaimRequest, type ClaimResult, type Command, type CommandResult,
} from '@fireflyglade/state';
import {
	claimMethod, decodeMessage,
	type ClaimCallResponse, type RpcClient,
} from '@fireflyglade/transport';
import type {JobClaims} from '../dependencies.js';

/** No quorum took the claim. */
export class ClaimError extends FireflygladeError {
	get code(): 'claim-failed' {
		return 'claim-failed';
	}
}

/** Options of claims over RPC. */
export type ControlClaimsOptions = {
	readonly client: RpcClient;
	/** RPC addresses of control processes. */
	readonly control: readonly string[];
	readonly clock: Clock;
};

const callTimeoutMilliseconds = 2000;
const unavailablePauseMilliseconds = 1000;
const finishTries = 5;
const finishPauseMilliseconds = 500;

/** Claims of jobs over RPC. */
export class ControlClaims implements JobClaims {
	readonly #options: ControlClaimsOptions;
	/** The control process that answered last. */
	#preferred = 0;
	/** Monotonic milliseconds before which no claim is begun. */
	#unavailableUntil = Number.NEGATIVE_INFINITY;

	constructor(options: ControlClaimsOptions) {
		this.#options = options;
	}

	/**
	Claims a job.

	@throws {ClaimError} No quorum took the claim, or none did a moment ago: a request
	that waits for a claim holds a slot of the upstream, so it is refused at once then.
	*/
	async begin(claim: ClaimRequest): Promise<ClaimResult> {
		const {clock} = this.#options;
		if (clock.now() < this.#unavailableUntil) {
			throw new ClaimError('no quorum of the control processes took a claim lately');
		}

		const result = await this.#beginOnce({kind: 'begin-claim', claim, at: clock.wallNow()});
		if (result.kind !== 'claim') {
			throw new ClaimError(`a claim was answered with ${result.kind}`);
		}

		return result.result;
	}

	async finish(claim: ClaimRequest, outcome: ClaimOutcome): Promise<void> {
		const {team, job, requestId} = claim;
		for (let tries = 1; ; tries += 1) {
			try {
				await this.#submit({
					kind: 'finish-claim', team, job, requestId, outcome, at: this.#options.clock.wallNow(),
				});
				return;
			} catch (error) {
				if (tries === finishTries) {
					throw error;
				}
			}

			await this.#pause();
		}
	}

	async #beginOnce(command: Command): Promise<CommandResult> {
		try {
			return await this.#submit(command);
		} catch (error: unknown) {
			this.#unavailableUntil = this.#options.clock.now() + unavailablePauseMilliseconds;
			throw error;
		}
	}

	/** Asks one control process after the other; a command that arrives twice has one effect. */
	async #submit(command: Command): Promise<CommandResult> {
		const {control} = this.#options;
		const encoded = encodeCommand(command);
		for (const _address of control) {
			const answer = await this.#call(control[this.#preferred % control.length]!, encoded);
			if (answer?.kind === 'result') {
				return decodeMessage(answer.result) as CommandResult;
			}

			this.#preferred += 1;
		}

		throw new ClaimError('no quorum of the control processes took the claim');
	}

	async #call(address: string, command: Uint8Array): Promise<ClaimCallResponse | undefined> {
		try {
			return await this.#options.client.call(claimMethod, address, {command}, {timeoutMilliseconds: callTimeoutMilliseconds});
		} catch {
			return undefined;
		}
	}

	async #pause(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.startTimer(finishPauseMilliseconds, resolve);
		});
	}
}
