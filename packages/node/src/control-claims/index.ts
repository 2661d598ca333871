/**
Claims jobs in the replicated log over RPC. Any control process accepts a claim
and forwards it to the leader of the replicated log.
*/

import {FireflygladeError, type Clock} from '@fireflyglade/model';
import {
	encodeCommand,
	type ClaimOutcome, type ClaimRequest, type ClaimResult, type Command, type CommandResult,
} from '@fireflyglade/state';
import {
	claimMethod, decodeMessage, type RpcClient,
} from '@fireflyglade/transport';
import type {JobClaims} from '../dependencies.js';
import {ControlCaller} from '../_lib/control-caller/index.js';

/** Thrown when no quorum of the control processes accepted a claim. */
export class ClaimError extends FireflygladeError {
	get code(): 'claim-failed' {
		return 'claim-failed';
	}
}

/** Options of `ControlClaims`. */
export type ControlClaimsOptions = {
	readonly client: RpcClient;
	/** RPC addresses of control processes. */
	readonly control: readonly string[];
	readonly clock: Clock;
};

const callTimeoutMilliseconds = 2000;
/** Milliseconds for which claims are refused without a call after no control process accepted one. */
const failFastMilliseconds = 1000;
const maximumFinishAttempts = 5;
const finishRetryDelayMilliseconds = 500;

/** Claims jobs through the control processes. */
export class ControlClaims implements JobClaims {
	readonly #options: ControlClaimsOptions;
	readonly #caller: ControlCaller;
	/** Monotonic time in milliseconds until which new claims are refused without a call. */
	#unavailableUntil = Number.NEGATIVE_INFINITY;

	constructor(options: ControlClaimsOptions) {
		this.#options = options;
		this.#caller = new ControlCaller({client: options.client, control: () => options.control, timeoutMilliseconds: callTimeoutMilliseconds});
	}

	/**
	Claims a job.

	@throws {ClaimError} No quorum accepted the claim, or an earlier claim failed within
	the last second. A request that waits for a claim occupies a slot of the upstream, so
	later claims fail immediately instead of waiting for a timeout.
	*/
	async begin(claim: ClaimRequest): Promise<ClaimResult> {
		const {clock} = this.#options;
		if (clock.now() < this.#unavailableUntil) {
			throw new ClaimError('a claim failed a short time ago because no quorum of the control processes accepted it');
		}

		const result = await this.#submitBegin({kind: 'begin-claim', claim, at: clock.wallNow()});
		if (result.kind !== 'claim') {
			throw new ClaimError(`a control process answered a claim with an unexpected result of kind ${result.kind}`);
		}

		return result.result;
	}

	/**
	Commits the outcome of a claimed job, and retries a limited number of times.

	@throws {ClaimError} Every attempt failed.
	*/
	async finish(claim: ClaimRequest, outcome: ClaimOutcome): Promise<void> {
		const {team, job, requestId} = claim;
		for (let attempt = 1; ; attempt += 1) {
			try {
				await this.#submit({
					kind: 'finish-claim', team, job, requestId, outcome, at: this.#options.clock.wallNow(),
				});
				return;
			} catch (error) {
				if (attempt === maximumFinishAttempts) {
					throw error;
				}
			}

			await this.#waitBeforeRetry();
		}
	}

	async #submitBegin(command: Command): Promise<CommandResult> {
		try {
			return await this.#submit(command);
		} catch (error: unknown) {
			this.#unavailableUntil = this.#options.clock.now() + failFastMilliseconds;
			throw error;
		}
	}

	/** Submits a command to one control process after the other until one answers. Commands are idempotent, so a repeated submission is safe. */
	async #submit(command: Command): Promise<CommandResult> {
		const answer = await this.#caller.call(claimMethod, {command: encodeCommand(command)}, ({kind}) => kind === 'result');
		if (answer?.kind !== 'result') {
			throw new ClaimError('no quorum of the control processes accepted the claim');
		}

		return decodeMessage(answer.result) as CommandResult;
	}

	async #waitBeforeRetry(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.startTimer(finishRetryDelayMilliseconds, resolve);
		});
	}
}
