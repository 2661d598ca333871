#!/usr/bin/env node
/**
The daemon `fireflyglade-node SETTINGS`.

Exit codes: 0 after a graceful shutdown, 2 if the settings have faults, 3 if
the node could not start.
*/

import {Command} from 'commander';
import {FireflygladeError} from '@fireflyglade/model';
import {createLogger} from '@fireflyglade/observability';
import {loadNodeSettings, SettingsError} from '@fireflyglade/settings';
import {loadFleetCredentials} from '@fireflyglade/transport';
import {NodeProcess} from './node-process/index.js';

const exitCodes = {settings: 2, start: 3} as const;

async function run(file: string): Promise<void> {
	const settings = await loadNodeSettings(file);
	const logger = createLogger(settings.log, {process: settings.node});
	const node = await NodeProcess.start(settings, await loadFleetCredentials(settings.security));
	logger.info('serves callers', {address: node.addresses.callers});
	let stopping: Promise<void> | undefined;
	const shutDown = (): void => {
		logger.info('shuts down gracefully');
		stopping ??= node.stop();
	};

	process.on('SIGTERM', shutDown);
	process.on('SIGINT', shutDown);
}

const program = new Command('fireflyglade-node')
	.argument('<settings>', 'settings file in JSON with comments')
	.action(run);

try {
	await program.parseAsync();
} catch (error: unknown) {
	console.error(error instanceof FireflygladeError ? error.message : error);
	process.exit(error instanceof SettingsError ? exitCodes.settings : exitCodes.start);
}
