/**
A control daemon that the bench starts as a process of its own, kills and starts
again.
*/

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdir, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {FireflygladeError} from '@fireflyglade/model';

/** A daemon ended or did not become ready. */
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

/** The token that the bench's operator shows. */
export const operatorToken = 'operator-token-of-the-bench';

const program = fileURLToPath(new URL('../../../../control/dist/main.js', import.meta.url));
const loopback = '127.0.0.1';
const readyTimeoutMilliseconds = 60_000;
const pollIntervalMilliseconds = 5;

/** Draws free ports; they are taken by name later, so another program could come first. */
export async function drawAddresses(count: number): Promise<readonly DaemonAddress[]> {
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

/** One daemon. */
export class ControlDaemon {
	/** Writes the settings of a daemon into the folder. */
	static async prepare(folder: string, address: DaemonAddress, all: readonly DaemonAddress[]): Promise<ControlDaemon> {
		const home = path.join(folder, address.member);
		await mkdir(home, {recursive: true});
		const operatorTokenFile = path.join(home, 'operator-token');
		const fleetTokenFile = path.join(home, 'fleet-token');
		await writeFile(operatorTokenFile, operatorToken, {mode: 0o600});
		await writeFile(fleetTokenFile, 'fleet-token-of-the-bench', {mode: 0o600});
		const settingsFile = path.join(home, 'settings.jsonc');
		await writeFile(settingsFile, JSON.stringify({
			member: address.member,
			domain: 'bench',
			dataFolder: path.join(home, 'data'),
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

	start(): void {
		this.#child = spawn(process.execPath, [program, this.#settingsFile], {stdio: ['ignore', 'ignore', 'inherit']});
	}

	/** Waits until the daemon has a quorum; resolves with the milliseconds that this took. */
	async waitUntilReady(): Promise<number> {
		const startedAt = performance.now();
		while (performance.now() - startedAt < readyTimeoutMilliseconds) {
			if (await this.#isReady()) {
				return performance.now() - startedAt;
			}

			const exitCode = this.#child?.exitCode ?? undefined;
			if (exitCode !== undefined) {
				throw new DaemonError(`${this.address.member} ended with code ${exitCode}`);
			}

			await pause(pollIntervalMilliseconds);
		}

		throw new DaemonError(`${this.address.member} was not ready within ${readyTimeoutMilliseconds} ms`);
	}

	/** Kills the process that this daemon started, and waits for its end. */
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

/** Waits between two tries. */
export async function pause(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
