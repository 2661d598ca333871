/**
Entry point of `npm start`: runs the demo until it is interrupted, then shuts down
gracefully.

Exit codes: 0 after a graceful shutdown, 1 if an option is invalid, 3 if the demo could not start, 4 if
the data folder could not be written.
*/

import {
	mkdtemp, rename, rm, writeFile,
} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Command, InvalidArgumentError} from 'commander';
import {showLiveTable} from './show-live-table/index.js';
import {startDemo, type RunningDemo} from './start-demo/index.js';

type CommandOptions = {
	readonly data?: string;
	readonly readyFile?: string;
	readonly callersPort: number;
	readonly operatorPort: number;
};

const exitCodes = {start: 3, storage: 4} as const;
const highestPort = 65_535;

function parsePort(text: string): number {
	const port = Number(text);
	if (!Number.isInteger(port) || port < 0 || port > highestPort) {
		throw new InvalidArgumentError(`a port is a whole number from 0 to ${highestPort}`);
	}

	return port;
}

/** Writes the ready file atomically, so that no reader sees an incomplete file. */
async function writeReadyFile(file: string, demo: RunningDemo): Promise<void> {
	const {
		callers, operator, operatorTokenFile, keys, routes, upstreams,
	} = demo;
	const temporaryFile = `${file}.${process.pid}`;
	await writeFile(temporaryFile, `${JSON.stringify({
		callers, operator, operatorTokenFile, keys, routes, upstreams,
	}, undefined, '\t')}\n`, {mode: 0o600});
	await rename(temporaryFile, file);
}

function printIntroduction(demo: RunningDemo): void {
	const client = path.relative(process.cwd(), fileURLToPath(new URL('../../client/dist/main.js', import.meta.url)));
	const [key] = Object.values(demo.keys);
	console.log(`The demo serves callers at ${demo.callers.join(', ')}.

A call:
  curl -s -H 'Authorization: Bearer ${key ?? ''}' ${demo.callers[0] ?? ''}/orders/7

A statement:
  node ${client} --operator ${demo.operator} --token-file ${demo.operatorTokenFile} 'show teams'

Interrupt it to shut down.
`);
}

async function serve(options: CommandOptions): Promise<void> {
	const temporaryFolder = options.data === undefined ? await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-')) : undefined;
	const demo = await startDemo({
		dataFolder: path.resolve(options.data ?? temporaryFolder!),
		callersPort: options.callersPort,
		operatorPort: options.operatorPort,
		onStorageFailure(error) {
			console.error(error.message);
			process.exit(exitCodes.storage); // eslint-disable-line unicorn/no-process-exit -- No request may be answered after a storage failure.
		},
	});
	if (options.readyFile !== undefined) {
		await writeReadyFile(options.readyFile, demo);
	}

	printIntroduction(demo);
	const stopTable = process.stdout.isTTY ? showLiveTable(demo.access, text => process.stdout.write(text)) : undefined;
	let stopping: Promise<void> | undefined;
	const stop = async (): Promise<void> => {
		stopTable?.();
		await demo.stop();
		if (temporaryFolder !== undefined) {
			await rm(temporaryFolder, {recursive: true, force: true});
		}
	};

	const shutDown = (): void => {
		stopping ??= stop();
	};

	process.on('SIGTERM', shutDown);
	process.on('SIGINT', shutDown);
}

const program = new Command('fireflyglade-demo')
	.option('--data <folder>', 'data folder; a new one under the temporary folder if absent')
	.option('--ready-file <file>', 'file to write, as JSON, once all serves')
	.option('--callers-port <port>', 'port of the first node for callers; the others follow', parsePort, 0)
	.option('--operator-port <port>', 'port for operators', parsePort, 0)
	.action(serve);

try {
	await program.parseAsync();
} catch (error: unknown) {
	console.error(error);
	process.exit(exitCodes.start); // eslint-disable-line unicorn/no-process-exit -- Components that have already started would keep the process alive.
}
