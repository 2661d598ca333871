/**
Runs a daemon in a child process that a test can start, kill, freeze and restart.
Signals go only to the child process that this module has started.
*/

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readdir, readFile} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {FireflygladeError} from '@fireflyglade/model';

/** Thrown if a daemon exits or does not become ready in time. */
export class DaemonError extends FireflygladeError {
	get code(): 'daemon' {
		return 'daemon';
	}
}

/** Options of a daemon process. */
export type DaemonProcessOptions = {
	/** Name in error messages. */
	readonly name: string;
	/** Path of the compiled main module. */
	readonly program: string;
	readonly settingsFile: string;
	/** URL that answers with status 200 once the daemon is ready. */
	readonly readyUrl: string;
	/** Options of the Node.js runtime, for example the size of its heap. */
	readonly runtimeOptions?: readonly string[];
	/** Variables of the environment in addition to those of the calling process. */
	readonly environment?: Readonly<Record<string, string>>;
	/** Limit of open descriptors; that of the calling process if absent. */
	readonly maximumDescriptors?: number;
};

/** What a process has used of its machine. */
export type ProcessUsage = {
	/** Peak of the resident memory. */
	readonly peakMebibytes: number;
	readonly openDescriptors: number;
};

const readyTimeoutMilliseconds = 30_000;
const pollIntervalMilliseconds = 20;
const kibibytesInMebibyte = 1024;
const settledMilliseconds = 1000;

/** A daemon in a child process. */
export class DaemonProcess {
	readonly #options: DaemonProcessOptions;
	#child: ChildProcess | undefined;

	constructor(options: DaemonProcessOptions) {
		this.#options = options;
	}

	/** Id of the process that was started last, or undefined before the first start. */
	get processId(): number | undefined {
		return this.#child?.pid;
	}

	/** True while the process runs. */
	get isRunning(): boolean {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	/**
	Reads what the process has used, from the operating system.

	@throws {DaemonError} The process has ended.
	*/
	async readUsage(): Promise<ProcessUsage> {
		const folder = `/proc/${this.processId!}`;
		try {
			const status = await readFile(`${folder}/status`, 'utf8');
			const descriptors = await readdir(`${folder}/fd`);
			return {
				peakMebibytes: Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / kibibytesInMebibyte,
				openDescriptors: descriptors.length,
			};
		} catch (error: unknown) {
			throw new DaemonError(`${this.#options.name} has ended`, {cause: error});
		}
	}

	/** Waits until the peak of the memory hasn't grown for a second, or the process has ended, so that what the system had buffered for the process was taken in. */
	async waitUntilSettled(): Promise<void> {
		let peakMebibytes = 0;
		let unchangedSince = performance.now();
		while (performance.now() - unchangedSince < settledMilliseconds) {
			const usage = await this.#readUsageIfRunning();
			if (usage === undefined) {
				return;
			}

			if (usage.peakMebibytes > peakMebibytes) {
				peakMebibytes = usage.peakMebibytes;
				unchangedSince = performance.now();
			}

			await wait(pollIntervalMilliseconds);
		}
	}

	/** Starts the process. */
	start(): void {
		const {program, settingsFile, runtimeOptions = [], environment, maximumDescriptors} = this.#options;
		const command = [process.execPath, ...runtimeOptions, program, settingsFile];
		const [file, ...options] = maximumDescriptors === undefined ? command : ['/bin/sh', '-c', `ulimit -n ${maximumDescriptors}; exec "$0" "$@"`, ...command];
		this.#child = spawn(file!, options, {stdio: ['ignore', 'ignore', 'inherit'], env: {...process.env, ...environment}});
	}

	/**
	Waits until the daemon reports that it is ready.

	@throws {DaemonError} The daemon exited, or was not ready within 30 seconds.
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

	/** Sends a signal to the process if it runs: `SIGKILL` to crash it, `SIGSTOP` to freeze it, `SIGCONT` to resume it, `SIGTERM` to stop it gracefully. */
	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this.#child?.kill(signal);
		}
	}

	/** Sends a signal and waits until the process exits. Returns its exit code, or undefined if a signal terminated it. */
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

	async #readUsageIfRunning(): Promise<ProcessUsage | undefined> {
		try {
			return await this.readUsage();
		} catch {
			return undefined;
		}
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
