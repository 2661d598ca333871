/**
Gets a statement answered by whichever control process can.

Every resend of one statement carries the same command id, so that a change
whose answer was lost is not made twice.
*/

import type {StatementResponse} from '@fireflyglade/language';
import type {Clock} from '@fireflyglade/model';
import {ControlUnreachableError, StatementRefusedError, UnexpectedAnswerError} from '../errors/index.js';
import type {RawAnswer, SendStatement, StatementRequest} from '../create-statement-sender/index.js';

/** Options of an operator client. */
export type OperatorClientOptions = {
	/** Base URLs of control processes. */
	readonly urls: readonly string[];
	readonly send: SendStatement;
	readonly clock: Clock;
	/** Makes the id of a command. */
	readonly createCommandId: () => string;
	/** Milliseconds after which no further attempt is begun. */
	readonly retryTimeoutMilliseconds: number;
};

/** Codes of answers that another control process, or the same one later, may turn into success. */
const retryableCodes = new Set(['no-quorum', 'not-leader', 'proposal-lost', 'shutting-down']);
const initialRetryDelayMilliseconds = 50;
const maximumRetryDelayMilliseconds = 1000;

type Attempt =
	| {readonly kind: 'answered'; readonly answer: StatementResponse}
	| {readonly kind: 'failed'; readonly reason: string};

function readField(value: unknown, name: string): unknown {
	return typeof value === 'object' && value !== null ? (value as Record<string, unknown>)[name] : undefined;
}

function toError(raw: RawAnswer): StatementRefusedError {
	const error = readField(raw.body, 'error');
	const code = readField(error, 'code');
	const message = readField(error, 'message');
	const position = readField(error, 'position');
	if (typeof code !== 'string' || typeof message !== 'string') {
		return new StatementRefusedError('unexpected-answer', `the control process answered with status ${raw.status}`, undefined);
	}

	return new StatementRefusedError(code, message, typeof position === 'number' ? position : undefined);
}

function toAnswer(raw: RawAnswer): StatementResponse {
	const kind = readField(raw.body, 'kind');
	if (kind !== 'changed' && kind !== 'members-changed' && kind !== 'rows' && kind !== 'help') {
		throw new UnexpectedAnswerError('the control process answered in an unknown form');
	}

	return raw.body as StatementResponse;
}

/** Gets statements answered by a set of control processes. */
export class OperatorClient {
	readonly #options: OperatorClientOptions;
	/** The control process that answered last. */
	#preferred: string | undefined;

	constructor(options: OperatorClientOptions) {
		this.#options = options;
	}

	/**
	Gets a statement answered.

	@throws {StatementRefusedError} A control process refused the statement.
	@throws {ControlUnreachableError} No control process could answer in time.
	@throws {UnexpectedAnswerError} The answer has the wrong form.
	*/
	async execute(statement: string): Promise<StatementResponse> {
		const {clock, createCommandId, retryTimeoutMilliseconds} = this.#options;
		const request: StatementRequest = {statement, commandId: createCommandId()};
		const giveUpAt = clock.now() + retryTimeoutMilliseconds;
		let pause = initialRetryDelayMilliseconds;
		for (;;) {
			const reasons: string[] = [];
			for (const url of this.#urlsInOrder()) {
				const attempt = await this.#attempt(url, request);
				if (attempt.kind === 'answered') {
					this.#preferred = url;
					return attempt.answer;
				}

				reasons.push(attempt.reason);
			}

			if (clock.now() + pause > giveUpAt) {
				throw new ControlUnreachableError(`no control process could answer: ${reasons.join('; ')}`);
			}

			await this.#wait(pause);
			pause = Math.min(pause * 2, maximumRetryDelayMilliseconds);
		}
	}

	#urlsInOrder(): readonly string[] {
		const preferred = this.#preferred;
		return preferred === undefined ? this.#options.urls : [preferred, ...this.#options.urls.filter(url => url !== preferred)];
	}

	async #attempt(url: string, request: StatementRequest): Promise<Attempt> {
		let raw: RawAnswer;
		try {
			raw = await this.#options.send(url, request);
		} catch (error) {
			return {kind: 'failed', reason: `${url}: ${error instanceof Error ? error.message : 'no answer'}`};
		}

		if (raw.status === 200) {
			return {kind: 'answered', answer: toAnswer(raw)};
		}

		const error = toError(raw);
		if (raw.status === 503 && retryableCodes.has(error.code)) {
			return {kind: 'failed', reason: `${url}: ${error.message}`};
		}

		throw error;
	}

	async #wait(milliseconds: number): Promise<void> {
		return new Promise(resolve => {
			this.#options.clock.startTimer(milliseconds, resolve);
		});
	}
}
