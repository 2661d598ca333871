/**
Runs statements from a stream of lines, such as a file, a pipe or a terminal.
*/

import {createInterface} from 'node:readline/promises';
import {runStatement, type RunStatementOptions} from '../run-statement/index.js';

/** Options of a session. */
export type RunSessionOptions = RunStatementOptions & {
	readonly input: NodeJS.ReadableStream;
	/** Output for the prompt of an interactive session; if set, an error does not end the session. */
	readonly terminal?: NodeJS.WritableStream;
};

const prompt = 'fireflyglade> ';
const exitCommands = new Set(['exit', 'quit']);

function isStatement(line: string): boolean {
	return line !== '' && !line.startsWith('#');
}

/**
Runs each line as a statement, in order. Empty lines and lines that begin with `#` are
skipped. Without a terminal, the first error ends the session.

@returns True if all statements were answered.
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

	let isSuccessful = true;
	for await (const line of lines) {
		const text = line.trim();
		if (exitCommands.has(text)) {
			break;
		}

		if (isStatement(text)) {
			isSuccessful = await runStatement(text, options) && isSuccessful;
		}

		if (!isSuccessful && !isInteractive) {
			break;
		}

		lines.prompt();
	}

	lines.close();
	return isSuccessful;
}
