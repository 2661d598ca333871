#!/usr/bin/env node
/**
The daemon `fireflyglade-node SETTINGS`.

Exit codes: 0 after a graceful shutdown, 2 if the settings are invalid, 3 if the
process could not start.
*/

import {Command} from 'commander';
import {FireflygladeError} from '@fireflyglade/model';
import {createLogger} from '@fireflyglade/observability';
import {loadNodeSettings, SettingsError} from '@fireflyglade/settings';
import {loadFleetCredentials} from '@fireflyglade/transport';
import {startFleetNode} from './start-fleet-node/index.js';

const exitCodes = {settings: 2, start: 3} as const;

async function run(file: string): Promise<void> {
	const settings = await loadNodeSettings(file);
	const logger = createLogger(settings.log, {process: settings.node});
	const node = await startFleetNode(settings, {
		credentials: await loadFleetCredentials(settings.security),
		onLogEvent(event, details) {
			logger.info(event, details);
		},
		onIncompleteResponse({requestId, upstream, answered, cause}) {
			logger.info('answer lost', {
				request: requestId, upstream, answered, detail: cause.message,
			});
		},
	});
	logger.info('serves callers', {...node.addresses, rpc: node.rpcAddress});
	const shutDown = async (signal: string): Promise<void> => {
		logger.info('shutting down', {signal});
		await node.stop();
		logger.info('shut down');
	};

	process.on('SIGTERM', () => {
		void shutDown('SIGTERM');
	});
	process.on('SIGINT', () => {
		void shutDown('SIGINT');
	});
}

const program = new Command('fireflyglade-node')
	.argument('<settings>', 'settings file in JSON with comments')
	.action(run);

try {
	await program.parseAsync();
} catch (error: unknown) {
	console.error(error instanceof FireflygladeError ? error.message : error);
	process.exitCode = error instanceof SettingsError ? exitCodes.settings : exitCodes.start;
}
