/**
Brings a command to the leader, wherever it is, and waits for its result.

Commands are de-duplicated by the state machine, so a command whose fate is
unknown is simply proposed again until the time is up.
*/

import type {Clock, MemberId} from '@fireflyglade/model';
import {
	decodeCommand, encodeCommand, type Command, type CommandResult,
} from '@fireflyglade/state';
import {
	decodeMessage, encodeMessage, RpcError, type RpcClient,
} from '@fireflyglade/transport';
import {proposeMethod, type ProposeAnswer, type ProposeRequest} from '../_lib/control-rpc.js';
import {NoQuorumError} from '../errors/index.js';
import type {ReplicatedLog} from '../replicated-log/index.js';

/** What the proposer needs. */
export type CommandProposerOptions = {
	readonly log: ReplicatedLog;
	readonly client: RpcClient;
	readonly addresses: ReadonlyMap<MemberId, string>;
	readonly clock: Clock;
};

const submitTimeoutMilliseconds = 4000;
const retryIntervalMilliseconds = 25;

/** Brings commands to the leader. */
export class CommandProposer {
	readonly #options: CommandProposerOptions;

	constructor(options: CommandProposerOptions) {
		this.#options = options;
	}

	/**
	Submits a command and waits for its result.

	@throws {NoQuorumError} No quorum took it in time; it may still be applied.
	*/
	async submit(command: Command): Promise<CommandResult> {
		const {clock} = this.#options;
		const giveUpAt = clock.now() + submitTimeoutMilliseconds;
		for (;;) {
			const result = await this.#attempt(command, giveUpAt - clock.now());
			if (result !== undefined) {
				return result;
			}

			if (clock.now() + retryIntervalMilliseconds >= giveUpAt) {
				throw new NoQuorumError('no quorum of the control processes took the command in time');
			}

			await this.#waitBeforeRetry();
		}
	}

	/** Answers a command that another member passed on. */
	async answer(request: ProposeRequest): Promise<ProposeAnswer> {
		try {
			const outcome = await this.#options.log.propose(decodeCommand(request.command));
			return outcome.kind === 'result' ? {kind: 'result', result: encodeMessage(outcome.result)} : outcome;
		} catch (error: unknown) {
			if (error instanceof NoQuorumError) {
				return {kind: 'no-quorum'};
			}

			throw error;
		}
	}

	/** Tries the leader as known here; undefined if it must be tried again. */
	async #attempt(command: Command, timeout: number): Promise<CommandResult | undefined> {
		try {
			const outcome = await this.#options.log.propose(command);
			return outcome.kind === 'result' ? outcome.result : await this.#forwardToLeader(command, outcome.leader, timeout);
		} catch (error: unknown) {
			if (error instanceof NoQuorumError || error instanceof RpcError) {
				return undefined;
			}

			throw error;
		}
	}

	async #forwardToLeader(command: Command, leader: MemberId | undefined, timeout: number): Promise<CommandResult | undefined> {
		const address = leader === undefined ? undefined : this.#options.addresses.get(leader);
		if (address === undefined) {
			return undefined;
		}

		const request: ProposeRequest = {command: encodeCommand(command)};
		const answer = await this.#options.client.call(proposeMethod, address, request, {timeoutMilliseconds: Math.max(1, Math.min(timeout, 1000))});
		return answer.kind === 'result' ? decodeMessage(answer.result) as CommandResult : undefined;
	}

	async #waitBeforeRetry(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.startTimer(retryIntervalMilliseconds, resolve);
		});
	}
}
