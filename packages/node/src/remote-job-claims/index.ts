/**
Claims of jobs in the replicated log, over RPC to any control process.

A claim is repeated against the other control processes until one answers or
the time is up: a resend of the same claim by the same process is granted again.
*/

import {FireflygladeError, type Clock} from '@fireflyglade/model';
import {
	encodeCommand, type ClaimOutcome, type ClaimRequest, type ClaimResult, type Command, type CommandResult,
} from '@fireflyglade/state';
import {
	claimMethod, decodeMessage, RpcError, type RpcClient,
} from '@fireflyglade/transport';
import type {JobClaims} from '../dependencies.js';

/** No quorum of the control processes took the claim in time. */
export class ClaimUnavailableError extends FireflygladeError {
	get code(): 'claim-unavailable' {
		return 'claim-unavailable';
	}
}

/** What the claims need. */
export type RemoteJobClaimsOptions = {
	readonly client: RpcClient;
	/** RPC addresses of the control processes. */
	readonly control: readonly string[];
	readonly clock: Clock;
};

const attemptTimeoutMilliseconds = 1500;
const beginTimeoutMilliseconds = 3000;
const finishTimeoutMilliseconds = 10_000;
const retryDelayMilliseconds = 50;

/** Claims of jobs, over RPC. */
export class RemoteJobClaims implements JobClaims {
	readonly #options: RemoteJobClaimsOptions;
	#preferred = 0;

	constructor(options: RemoteJobClaimsOptions) {
		this.#options = options;
	}

	/**
	Claims a job.

	@throws {ClaimUnavailableError} No quorum took the claim in time.
	*/
	async begin(claim: ClaimRequest): Promise<ClaimResult> {
		const result = await this.#submit({kind: 'begin-claim', claim, at: 0}, beginTimeoutMilliseconds);
		if (result.kind !== 'claim') {
			throw new ClaimUnavailableError(`a claim was answered with ${result.kind}`);
		}

		return result.result;
	}

	/**
	Commits how a claimed job ended.

	@throws {ClaimUnavailableError} No quorum took it in time; the job then stays claimed.
	*/
	async finish(claim: ClaimRequest, outcome: ClaimOutcome): Promise<void> {
		const {team, job, requestId} = claim;
		await this.#submit({
			kind: 'finish-claim', team, job, requestId, outcome, at: 0,
		}, finishTimeoutMilliseconds);
	}

	async #submit(command: Command, timeout: number): Promise<CommandResult> {
		const {clock} = this.#options;
		const giveUpAt = clock.now() + timeout;
		const bytes = encodeCommand(command);
		while (clock.now() < giveUpAt) {
			const result = await this.#tryOnce(bytes, giveUpAt - clock.now());
			if (result !== undefined) {
				return result;
			}

			this.#preferred = (this.#preferred + 1) % this.#options.control.length;
			await this.#pause();
		}

		throw new ClaimUnavailableError('no quorum of the control processes took the claim in time');
	}

	async #tryOnce(command: Uint8Array, timeLeft: number): Promise<CommandResult | undefined> {
		const address = this.#options.control[this.#preferred]!;
		try {
			const answer = await this.#options.client.call(claimMethod, address, {command}, {timeoutMilliseconds: Math.min(attemptTimeoutMilliseconds, timeLeft)});
			return answer.kind === 'result' ? decodeMessage(answer.result) as CommandResult : undefined;
		} catch (error: unknown) {
			if (error instanceof RpcError) {
				return undefined;
			}

			throw error;
		}
	}

	async #pause(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.startTimer(retryDelayMilliseconds, resolve);
		});
	}
}
