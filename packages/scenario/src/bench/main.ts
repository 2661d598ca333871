/**
The command that runs a bench: `npm run bench -- NAME [--json] [--long] [--seed N]`.

The exit code is 0 if every target of the bench is met, 1 if one is missed, and 2
if the bench could not run.
*/

import {existsSync} from 'node:fs';
import os from 'node:os';
import {fileURLToPath} from 'node:url';
import {Command, InvalidArgumentError} from 'commander';
import type {BenchOptions, BenchReport} from './types.js';

type BenchModule = {
	readonly run: (options: BenchOptions) => Promise<BenchReport>;
};

type CommandOptions = {
	readonly json: boolean;
	readonly long: boolean;
	readonly seed: number;
};

function parseSeed(text: string): number {
	const seed = Number(text);
	if (!Number.isSafeInteger(seed)) {
		throw new InvalidArgumentError('a seed is a whole number');
	}

	return seed;
}

async function loadBench(name: string): Promise<BenchModule> {
	const file = new URL(`${name}/index.js`, import.meta.url);
	if (!/^[a-z]+$/.test(name) || !existsSync(fileURLToPath(file))) {
		throw new InvalidArgumentError(`there is no bench ${JSON.stringify(name)}`);
	}

	return await import(file.href) as BenchModule;
}

function describeMachine(): {readonly processor: string; readonly cores: number; readonly memoryBytes: number; readonly node: string} {
	const cores = os.cpus();
	return {
		processor: cores[0]?.model ?? 'unknown', cores: cores.length, memoryBytes: os.totalmem(), node: process.version,
	};
}

function printTargets(report: BenchReport): void {
	for (const target of report.targets) {
		console.log(`${target.held ? 'held  ' : 'MISSED'} ${target.name}: ${target.measured} (target ${target.target})`);
	}
}

async function runBench(name: string, options: CommandOptions): Promise<void> {
	const bench = await loadBench(name);
	const report = await bench.run({
		seed: options.seed,
		long: options.long,
		progress(line) {
			console.error(line);
		},
	});
	if (options.json) {
		console.log(JSON.stringify({
			bench: name, seed: options.seed, machine: describeMachine(), ...report,
		}, undefined, '\t'));
	} else {
		console.log(JSON.stringify(report.results, undefined, '\t'));
		printTargets(report);
	}

	process.exitCode = report.targets.every(target => target.held) ? 0 : 1;
}

const program = new Command('bench')
	.argument('<name>', 'name of the bench')
	.option('--json', 'print one JSON document', false)
	.option('--long', 'run longer than 4 minutes', false)
	.option('--seed <number>', 'seed of the random choices', parseSeed, 1)
	.action(runBench);

try {
	await program.parseAsync();
} catch (error: unknown) {
	console.error(error instanceof Error ? error.message : error);
	process.exitCode = 2;
}
