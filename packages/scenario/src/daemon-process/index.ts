/**
A daemon of the product as a process of its own, which a test starts, kills,
freezes and starts again. Only processes that were started here are signalled.
*/

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {FireflygladeError} from '@fireflyglade/model';

/** A daemon ended by itself or did not become ready. */
export class DaemonError extends FireflygladeError {
	get code(): 'daemon' {
		return 'daemon';
	}
}

/** Options of a daemon. */
export type DaemonProcessOptions = {
	/** Name for errors. */
	readonly name: string;
	/** Path of the compiled program. */
	readonly program: string;
	readonly settingsFile: string;
	/** URL that answers 200 once the daemon serves. */
	readonly readyUrl: string;
};

const readyTimeoutMilliseconds = 30_000;
const pollIntervalMilliseconds = 20;

/** A daemon of the product as a process of its own. */
export class DaemonProcess {
	readonly #options: DaemonProcessOptions;
	#child: ChildProcess | undefined;

	constructor(options: DaemonProcessOptions) {
		this.#options = options;
	}

	/** Identifier of the process, while it runs. */
	get processId(): number | undefined {
		return this.#child?.pid;
	}

	/** True while the process has not ended. */
	get isRunning(): boolean {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	/** Starts the process. */
	start(): void {
		const {program, settingsFile} = this.#options;
		this.#child = spawn(process.execPath, [program, settingsFile], {stdio: ['ignore', 'ignore', 'inherit']});
	}

	/**
	Waits until the daemon says that it is ready.

	@throws {DaemonError} It ended, or took too long.
	*/
	async waitUntilReady(): Promise<void> {
		const deadline = performance.now() + readyTimeoutMilliseconds;
		while (performance.now() < deadline) {
			if (await this.#isReady()) {
				return;
			}

			if (!this.isRunning) {
				throw new DaemonError(`${this.#options.name} ended with code ${String(this.#child?.exitCode)}`);
			}

			await wait(pollIntervalMilliseconds);
		}

		throw new DaemonError(`${this.#options.name} was not ready within ${readyTimeoutMilliseconds} ms`);
	}

	/** Sends a signal: `SIGKILL` for a crash, `SIGSTOP` and `SIGCONT` for a freeze, `SIGTERM` for a planned stop. */
	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this.#child?.kill(signal);
		}
	}

	/** Sends a signal and waits until the process has ended; returns its exit code, or undefined if a signal ended it. */
	async end(signal: NodeJS.Signals): Promise<number | undefined> {
		const child = this.#child;
		if (child === undefined || !this.isRunning) {
			return child?.exitCode ?? undefined;
		}

		const exited = once(child, 'exit');
		child.kill(signal);
		await exited;
		return child.exitCode ?? undefined;
	}

	async #isReady(): Promise<boolean> {
		try {
			const answer = await request(this.#options.readyUrl, {headersTimeout: 1000, bodyTimeout: 1000});
			await answer.body.dump();
			return answer.statusCode === 200;
		} catch {
			return false;
		}
	}
}
