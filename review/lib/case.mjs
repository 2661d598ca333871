/**
Runs one case: starts its deployment, plays it, ends every process, and exits with 1 if
the rule was broken, 0 if it held and 2 if the case could not run.
*/

/* eslint-disable unicorn/no-process-exit -- a case is a program of its own */

import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Deployment, Record} from './deployment.mjs';

const longestMilliseconds = 105_000;

/** What a case may end with. */
export const exitCodes = {held: 0, broken: 1, failed: 2};

/** False in the run without the disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

/**
Runs a case.

@param moduleUrl - Address of the case's module; the record is written beside it.
@param options - Options of the deployment.
@param play - Plays the case and returns the exit code.
*/
export async function runCase(moduleUrl, options, play) {
	const record = new Record(path.join(path.dirname(fileURLToPath(moduleUrl)), 'record.txt'));
	const deployment = await Deployment.create(record, options);
	const end = async code => {
		await deployment.end();
		process.exit(code);
	};

	setTimeout(async () => {
		record.report('the case took too long');
		await end(exitCodes.failed);
	}, longestMilliseconds);
	try {
		await end(await play(deployment, record));
	} catch (error) {
		record.report(`the case could not run: ${error.stack}`);
		await end(exitCodes.failed);
	}
}
