/**
The command-line interface of the client for operators.

Exit codes: 0 on success, 1 if a statement was refused or not answered or a settings
file is not valid, 2 if an option is missing or invalid or the token file can't be read.
*/

import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {Command} from 'commander';
import {millisecondsInSecond, SystemClock} from '@fireflyglade/model';
import {checkSettings} from '../check-settings/index.js';
import {UsageError} from '../errors/index.js';
import {formatError, type AnswerFormat} from '../format-answer/index.js';
import {OperatorClient} from '../operator-client/index.js';
import {runExplain, type ExplainOptions} from '../run-explain/index.js';
import {runSession} from '../run-session/index.js';
import {runStatement, type ExecuteStatement, type Output} from '../run-statement/index.js';
import {runTop} from '../run-top/index.js';
import {createStatementSender} from '../create-statement-sender/index.js';

/** Streams and callbacks through which the program communicates. */
export type ProgramEnvironment = {
	readonly input: NodeJS.ReadableStream;
	readonly terminal: NodeJS.WritableStream;
	/** True if `input` and `terminal` are both connected to a terminal. */
	readonly isInteractive: boolean;
	readonly output: Output;
	/** Sets the exit code of the process. */
	setExitCode(code: number): void;
};

type ProgramOptions = {
	readonly operator?: string;
	readonly tokenFile?: string;
	readonly json?: boolean;
};

type TopOptions = {
	readonly interval: string;
	readonly count?: string;
};

const requestTimeoutMilliseconds = 15_000;
const retryTimeoutMilliseconds = 30_000;
const exitCodes = {refused: 1, usage: 2} as const;

async function connect(options: ProgramOptions): Promise<ExecuteStatement> {
	if (options.operator === undefined || options.tokenFile === undefined) {
		throw new UsageError('--operator and --token-file are needed');
	}

	const urls = options.operator.split(',').filter(url => url !== '');
	if (urls.length === 0 || !urls.every(url => URL.canParse(url))) {
		throw new UsageError(`--operator ${options.operator} is no list of URLs`);
	}

	const token = await readToken(options.tokenFile);
	const client = new OperatorClient({
		urls,
		send: createStatementSender({token, timeoutMilliseconds: requestTimeoutMilliseconds}),
		clock: new SystemClock(),
		createCommandId: randomUUID,
		retryTimeoutMilliseconds,
	});
	return async statement => client.execute(statement);
}

/** Reads the token and creates the client only when the first statement is executed, because help needs no control process and no token. */
function connectLazily(options: ProgramOptions): ExecuteStatement {
	let connection: Promise<ExecuteStatement> | undefined;
	return async statement => {
		connection ??= connect(options);
		const execute = await connection;
		return execute(statement);
	};
}

async function readToken(file: string): Promise<string> {
	try {
		const text = await readFile(file, 'utf8');
		return text.trim();
	} catch (error) {
		throw new UsageError(`--token-file ${file} can't be read`, {cause: error});
	}
}

async function runStatements(text: string | undefined, options: ProgramOptions, environment: ProgramEnvironment): Promise<boolean> {
	const {input, terminal, isInteractive, output} = environment;
	const format: AnswerFormat = options.json ? 'json' : 'people';
	const execute = connectLazily(options);
	if (text !== undefined) {
		return runStatement(text, {execute, output, format});
	}

	return runSession({
		execute, output, format, input, ...(isInteractive ? {terminal} : {}),
	});
}

async function runTopCommand(topOptions: TopOptions, options: ProgramOptions, environment: ProgramEnvironment): Promise<void> {
	const {isInteractive, output} = environment;
	const interval = Number(topOptions.interval);
	const count = topOptions.count === undefined ? undefined : Number(topOptions.count);
	if (!(interval > 0) || (count !== undefined && !(count > 0))) {
		throw new UsageError('--interval and --count take a number above 0');
	}

	await runTop({
		execute: await connect(options),
		output,
		clock: new SystemClock(),
		intervalMilliseconds: interval * millisecondsInSecond,
		shouldClearScreen: isInteractive,
		...(count === undefined ? {} : {count}),
	});
}

/** Creates the command-line program; call `parseAsync` on it to run it. */
export function createProgram(environment: ProgramEnvironment): Command {
	const {output} = environment;
	const program = new Command('fireflyglade');
	const runAction = async (action: () => Promise<boolean>): Promise<void> => {
		try {
			const isSuccessful = await action();
			if (!isSuccessful) {
				environment.setExitCode(exitCodes.refused);
			}
		} catch (error) {
			const format = program.opts<ProgramOptions>().json ? 'json' : 'people';
			const message = formatError(error, '', format);
			if (format === 'json') {
				output.write(message);
			} else {
				output.writeError(message);
			}

			environment.setExitCode(error instanceof UsageError ? exitCodes.usage : exitCodes.refused);
		}
	};

	program
		.description('Runs operators\' statements: one as an argument, many from standard input, or a session at a terminal.')
		.option('--operator <urls>', 'base URLs of control processes, separated by commas')
		.option('--token-file <file>', 'file that holds the operator\'s token')
		.option('--json', 'write answers and errors as JSON')
		.argument('[statement]', 'the statement; "help" lists them')
		.action(async (statement: string | undefined) => runAction(async () => runStatements(statement, program.opts(), environment)));
	program
		.command('check <settings>')
		.description('check a settings file of a node or a control process')
		.action(async (file: string) => runAction(async () => {
			const kind = await checkSettings(file);
			output.write(program.opts<ProgramOptions>().json ? JSON.stringify({file, kind}) : `${file}: settings of a ${kind} process, no faults`);
			return true;
		}));
	program
		.command('top')
		.description('show teams and upstreams, drawn again at an interval')
		.option('--interval <seconds>', 'seconds between two views', '1')
		.option('--count <number>', 'number of views; without end if absent')
		.action(async (options: TopOptions) => runAction(async () => {
			await runTopCommand(options, program.opts(), environment);
			return true;
		}));
	program
		.command('explain <method> <path>')
		.description('show where a request would go now and why, without sending it')
		.option('--node <url>', 'base URL of the status listener of the node that would receive the request')
		.option('--host <host>', 'the host that the request is for')
		.option('--team <team>', 'the team that the request is for')
		.option('--timeout-ms <number>', 'the caller\'s timeout in milliseconds; that of the route if absent')
		.action(async (method: string, path: string, options: ExplainOptions) => runAction(async () => {
			await runExplain(method, path, options, {output, format: program.opts<ProgramOptions>().json ? 'json' : 'people'});
			return true;
		}));
	return program;
}
