/**
Runs a control daemon as a child process that the bench can kill and restart.
*/

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdir, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {FireflygladeError} from '@fireflyglade/model';

/** Thrown when a daemon exits or does not become ready in time. */
export class DaemonError extends FireflygladeError {
	get code(): 'daemon' {
		return 'daemon';
	}
}

/** Name and addresses of a daemon. */
export type DaemonAddress = {
	readonly member: string;
	readonly operatorPort: number;
	readonly rpcPort: number;
};

/** The token with which the bench authenticates as an operator. */
export const operatorToken = 'operator-token-of-the-bench';

const program = fileURLToPath(new URL('../../../../control/dist/main.js', import.meta.url));
const loopback = '127.0.0.1';
const readyTimeoutMilliseconds = 60_000;
const pollIntervalMilliseconds = 5;

/**
Chooses free ports for a number of daemons. The ports are released before the
daemons bind them, so another program could bind one in between.
*/
export async function chooseFreeAddresses(count: number): Promise<readonly DaemonAddress[]> {
	const ports: number[] = [];
	const servers = Array.from({length: count * 2}, () => createServer());
	for (const server of servers) {
		server.listen(0, loopback);
		await once(server, 'listening');
		ports.push((server.address() as AddressInfo).port);
	}

	for (const server of servers) {
		server.close();
		await once(server, 'close');
	}

	return Array.from({length: count}, (_, position) => ({
		member: `control-${position + 1}`, operatorPort: ports[position * 2] ?? 0, rpcPort: ports[(position * 2) + 1] ?? 0,
	}));
}

/** A control daemon and its process. */
export class ControlDaemon {
	/** Writes the settings and token files of a daemon into a subfolder; doesn't start it. */
	static async create(folder: string, address: DaemonAddress, all: readonly DaemonAddress[]): Promise<ControlDaemon> {
		const daemonFolder = path.join(folder, address.member);
		await mkdir(daemonFolder, {recursive: true});
		const operatorTokenFile = path.join(daemonFolder, 'operator-token');
		const fleetTokenFile = path.join(daemonFolder, 'fleet-token');
		await writeFile(operatorTokenFile, operatorToken, {mode: 0o600});
		await writeFile(fleetTokenFile, 'fleet-token-of-the-bench', {mode: 0o600});
		const settingsFile = path.join(daemonFolder, 'settings.jsonc');
		await writeFile(settingsFile, JSON.stringify({
			member: address.member,
			domain: 'bench',
			dataFolder: path.join(daemonFolder, 'data'),
			operatorAddress: `${loopback}:${address.operatorPort}`,
			rpcAddress: `${loopback}:${address.rpcPort}`,
			members: all.map(({member, rpcPort}) => ({member, rpcAddress: `${loopback}:${rpcPort}`})),
			operators: [{name: 'bench', role: 'operator', tokenFile: operatorTokenFile}],
			security: {kind: 'token', tokenFile: fleetTokenFile},
			log: {level: 'error', format: 'json'},
		}));
		return new ControlDaemon(address, settingsFile);
	}

	readonly #settingsFile: string;
	#child: ChildProcess | undefined;

	private constructor(readonly address: DaemonAddress, settingsFile: string) {
		this.#settingsFile = settingsFile;
	}

	get operatorUrl(): string {
		return `http://${loopback}:${this.address.operatorPort}`;
	}

	/** Starts the process; doesn't wait until it is ready. */
	start(): void {
		this.#child = spawn(process.execPath, [program, this.#settingsFile], {stdio: ['ignore', 'ignore', 'inherit']});
	}

	/**
	Waits until the daemon reports that it is ready; resolves with the time that this took in milliseconds.

	@throws {DaemonError} The daemon exits, or isn't ready before the timeout.
	*/
	async waitUntilReady(): Promise<number> {
		const startedAt = performance.now();
		while (performance.now() - startedAt < readyTimeoutMilliseconds) {
			if (await this.#isReady()) {
				return performance.now() - startedAt;
			}

			const exitCode = this.#child?.exitCode ?? undefined;
			if (exitCode !== undefined) {
				throw new DaemonError(`${this.address.member} exited with code ${exitCode}`);
			}

			await pause(pollIntervalMilliseconds);
		}

		throw new DaemonError(`${this.address.member} was not ready within ${readyTimeoutMilliseconds} ms`);
	}

	/** Kills the process and waits for its exit; does nothing if it isn't running. */
	async kill(): Promise<void> {
		const child = this.#child;
		this.#child = undefined;
		if (child?.exitCode !== null || child.signalCode !== null) {
			return;
		}

		const exited = once(child, 'exit');
		child.kill('SIGKILL');
		await exited;
	}

	async #isReady(): Promise<boolean> {
		try {
			const {statusCode, body} = await request(`${this.operatorUrl}/readyz`);
			await body.dump();
			return statusCode === 200;
		} catch {
			return false;
		}
	}
}

/** Resolves after a number of milliseconds. */
export async function pause(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
