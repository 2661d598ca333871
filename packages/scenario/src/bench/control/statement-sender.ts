/**
Sends statements like the command-line client: retries a statement under the same
command id at one control daemon after the other until one answers.
*/

import {randomUUID} from 'node:crypto';
import {Pool} from 'undici';
import {FireflygladeError} from '@fireflyglade/model';
import {operatorToken, pause, type ControlDaemon} from './control-daemon.js';

/** Thrown when no control daemon answers a statement in time, or when one refuses it. */
export class StatementFailedError extends FireflygladeError {
	get code(): 'statement-failed' {
		return 'statement-failed';
	}
}

/** The answer to a statement. */
export type StatementAnswer = {
	readonly body: Readonly<Record<string, unknown>>;
	readonly milliseconds: number;
	/** Number of attempts, including the answered one. */
	readonly tries: number;
};

const connectionsPerDaemon = 64;
const attemptTimeoutMilliseconds = 1500;
const totalTimeoutMilliseconds = 30_000;
const retryDelayMilliseconds = 10;

/** Sends statements to a group of control daemons. */
export class StatementSender {
	readonly #pools: readonly Pool[];

	constructor(daemons: readonly ControlDaemon[]) {
		this.#pools = daemons.map(daemon => new Pool(daemon.operatorUrl, {
			connections: connectionsPerDaemon, headersTimeout: attemptTimeoutMilliseconds, bodyTimeout: attemptTimeoutMilliseconds, connectTimeout: attemptTimeoutMilliseconds,
		}));
	}

	/**
	Sends a statement and retries it until it is answered.

	@param first - Position of the daemon to which the first attempt goes.
	@throws {StatementFailedError} The statement is refused, or not answered within 30 s.
	*/
	async send(statement: string, first = 0): Promise<StatementAnswer> {
		const commandId = randomUUID();
		const startedAt = performance.now();
		for (let tries = 1; performance.now() - startedAt < totalTimeoutMilliseconds; tries++) {
			const body = await this.#attempt(this.#pools[(first + tries - 1) % this.#pools.length], statement, commandId);
			if (body !== undefined) {
				return {body, milliseconds: performance.now() - startedAt, tries};
			}

			await pause(retryDelayMilliseconds);
		}

		throw new StatementFailedError(`no control daemon answered ${JSON.stringify(statement)} in time`);
	}

	async close(): Promise<void> {
		for (const pool of this.#pools) {
			await pool.destroy();
		}
	}

	async #attempt(pool: Pool | undefined, statement: string, commandId: string): Promise<Readonly<Record<string, unknown>> | undefined> {
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
			// The connection broke, so the outcome is unknown; the retry under the same command id returns it.
			return undefined;
		}
	}
}
