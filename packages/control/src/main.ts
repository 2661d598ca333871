#!/usr/bin/env node
/**
The control daemon, started as `fireflyglade-control SETTINGS`.

Exit codes: 0 after a graceful shutdown, 2 if the settings are invalid, 3 if the
process could not start, 4 if the data folder could not be written.
*/

import {randomInt} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {Command} from 'commander';
import {FireflygladeError} from '@fireflyglade/model';
import {
	loadControlSettings, SettingsError, type ControlSettings, type OperatorTokenSettings,
} from '@fireflyglade/settings';
import {createLogger} from '@fireflyglade/observability';
import {createProcessResources, loadFleetCredentials} from '@fireflyglade/transport';
import {ControlProcess} from './control-process/index.js';
import type {Operator} from './statement-service/index.js';

const exitCodes = {settings: 2, start: 3, storage: 4} as const;
const seedUpperBound = 2 ** 31;

async function loadOperator(settings: OperatorTokenSettings): Promise<Operator> {
	const token = await readFile(settings.tokenFile, 'utf8');
	return {name: settings.name, role: settings.role, token: token.trim()};
}

async function startControl(settings: ControlSettings): Promise<ControlProcess> {
	const logger = createLogger(settings.log, {process: settings.member});
	return ControlProcess.start({
		member: settings.member,
		dataFolder: settings.dataFolder,
		operatorAddress: settings.operatorAddress,
		rpcAddress: settings.rpcAddress,
		members: new Map(settings.members.map(({member, rpcAddress}) => [member, rpcAddress])),
		join: settings.join,
		operators: await Promise.all(settings.operators.map(async operator => loadOperator(operator))),
		credentials: await loadFleetCredentials(settings.security),
		resources: createProcessResources(settings.resources),
		randomSeed: randomInt(seedUpperBound),
		onDiskFull(isFull) {
			logger.warn(isFull ? 'the disk is full; changes wait for space' : 'the disk has space again');
		},
		onStorageFailure(error) {
			logger.error(error.message);
			process.exit(exitCodes.storage);
		},
	});
}

async function run(file: string): Promise<void> {
	const settings = await loadControlSettings(file);
	const control = await startControl(settings);
	const logger = createLogger(settings.log, {process: settings.member});
	logger.info('serves operators', {url: control.operatorUrl});
	let closing: Promise<void> | undefined;
	const shutDown = (): void => {
		closing ??= control.close();
	};

	process.on('SIGTERM', shutDown);
	process.on('SIGINT', shutDown);
}

const program = new Command('fireflyglade-control')
	.argument('<settings>', 'settings file in JSON with comments')
	.action(run);

try {
	await program.parseAsync();
} catch (error: unknown) {
	console.error(error instanceof FireflygladeError ? error.message : error);
	process.exitCode = error instanceof SettingsError ? exitCodes.settings : exitCodes.start;
}
