/**
Sends statements as the client does: under one command id, to one control process
after the other, until one answers.
*/

import {randomUUID} from 'node:crypto';
import {Pool} from 'undici';
import {FireflygladeError} from '@fireflyglade/model';
import {operatorToken, pause, type ControlDaemon} from './control-daemon.js';

/** No control process answered a statement in time, or one refused it. */
export class StatementFailedError extends FireflygladeError {
	get code(): 'statement-failed' {
		return 'statement-failed';
	}
}

/** The answer to a statement. */
export type SentAnswer = {
	readonly body: Readonly<Record<string, unknown>>;
	readonly milliseconds: number;
	/** Tries that were needed. */
	readonly tries: number;
};

const connectionsEach = 64;
const tryTimeoutMilliseconds = 1500;
const giveUpMilliseconds = 30_000;
const retryPauseMilliseconds = 10;

/** Statements to a few daemons. */
export class StatementSender {
	readonly #pools: readonly Pool[];

	constructor(daemons: readonly ControlDaemon[]) {
		this.#pools = daemons.map(daemon => new Pool(daemon.operatorUrl, {
			connections: connectionsEach, headersTimeout: tryTimeoutMilliseconds, bodyTimeout: tryTimeoutMilliseconds, connectTimeout: tryTimeoutMilliseconds,
		}));
	}

	/**
	Sends a statement until it is answered.

	@param first - Position of the daemon that is tried first.
	@throws {StatementFailedError} It was refused, or not answered within 30 s.
	*/
	async send(statement: string, first = 0): Promise<SentAnswer> {
		const commandId = randomUUID();
		const startedAt = performance.now();
		for (let tries = 1; performance.now() - startedAt < giveUpMilliseconds; tries++) {
			const body = await this.#tryOnce(this.#pools[(first + tries - 1) % this.#pools.length], statement, commandId);
			if (body !== undefined) {
				return {body, milliseconds: performance.now() - startedAt, tries};
			}

			await pause(retryPauseMilliseconds);
		}

		throw new StatementFailedError(`no control process answered ${JSON.stringify(statement)} in time`);
	}

	async close(): Promise<void> {
		for (const pool of this.#pools) {
			await pool.destroy();
		}
	}

	async #tryOnce(pool: Pool | undefined, statement: string, commandId: string): Promise<Readonly<Record<string, unknown>> | undefined> {
		const answer = await this.#post(pool, statement, commandId);
		if (answer === undefined || answer.status === 503) {
			return undefined;
		}

		if (answer.status !== 200) {
			throw new StatementFailedError(`${JSON.stringify(statement)} was answered ${answer.status}: ${answer.text}`);
		}

		return JSON.parse(answer.text) as Record<string, unknown>;
	}

	async #post(pool: Pool | undefined, statement: string, commandId: string): Promise<{readonly status: number; readonly text: string} | undefined> {
		try {
			const response = await pool?.request({
				path: '/v1/statements',
				method: 'POST',
				headers: {authorization: `Bearer ${operatorToken}`, 'content-type': 'application/json'},
				body: JSON.stringify({statement, commandId}),
			});
			return response === undefined ? undefined : {status: response.statusCode, text: await response.body.text()};
		} catch {
			// The connection broke: what became of the statement is told by a resend.
			return undefined;
		}
	}
}
