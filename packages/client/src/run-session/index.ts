/**
Runs the statements of a stream of lines: a file, a pipe or a terminal.
*/

import {createInterface} from 'node:readline/promises';
import {runStatement, type RunStatementOptions} from '../run-statement/index.js';

/** Options of a session. */
export type RunSessionOptions = RunStatementOptions & {
	readonly input: NodeJS.ReadableStream;
	/** Set for a person at a terminal: the prompt is written there, and an error doesn't end the session. */
	readonly terminal?: NodeJS.WritableStream;
};

const prompt = 'fireflyglade> ';
const exitCommands = new Set(['exit', 'quit']);

function isStatement(line: string): boolean {
	return line !== '' && !line.startsWith('#');
}

/**
Runs each line as a statement, in order. Empty lines and lines that begin with
`#` are passed over. Without a terminal the first error ends the session.

@returns True if every statement was answered.
*/
export async function runSession(options: RunSessionOptions): Promise<boolean> {
	const {input, terminal} = options;
	const isInteractive = terminal !== undefined;
	const lines = createInterface({
		input, terminal: isInteractive, prompt, ...(isInteractive ? {output: terminal} : {}),
	});
	if (isInteractive) {
		terminal.write('"help" lists the statements, "exit" ends the session.\n');
		lines.prompt();
	}

	let succeeded = true;
	for await (const line of lines) {
		const text = line.trim();
		if (exitCommands.has(text)) {
			break;
		}

		if (isStatement(text)) {
			succeeded = await runStatement(text, options) && succeeded;
		}

		if (!succeeded && !isInteractive) {
			break;
		}

		lines.prompt();
	}

	lines.close();
	return succeeded;
}
