/**
Asks a node's status listener where a request would go, and prints the answer.
*/

import {request} from 'undici';
import {
	NodeUnreachableError, StatementRefusedError, UnexpectedAnswerError, UsageError,
} from '../errors/index.js';
import type {AnswerFormat} from '../format-answer/index.js';
import {formatExplanation, type Explanation} from '../format-explanation/index.js';
import type {Output} from '../run-statement/index.js';

/** The request to explain, as stated on the command line. */
export type ExplainOptions = {
	/** Base URL of the node's status listener. */
	readonly node?: string;
	readonly host?: string;
	readonly team?: string;
	readonly timeoutMs?: string;
};

type Answer = {readonly status: number; readonly body: unknown};

const requestTimeoutMilliseconds = 5000;

/** Prints where a request would go. Throws if the node refuses the query or doesn't answer. */
export async function runExplain(method: string, path: string, options: ExplainOptions, {output, format}: {readonly output: Output; readonly format: AnswerFormat}): Promise<void> {
	const {node, host, team, timeoutMs} = options;
	if (node === undefined || !URL.canParse(node)) {
		throw new UsageError('--node takes the URL of a node\'s status listener');
	}

	const url = new URL('/explain', node);
	for (const [name, value] of Object.entries({
		method: method.toUpperCase(), path, host, team, 'timeout-ms': timeoutMs,
	})) {
		if (value !== undefined) {
			url.searchParams.set(name, value);
		}
	}

	const explanation = readExplanation(await ask(url));
	output.write(format === 'json' ? JSON.stringify(explanation) : formatExplanation(explanation));
}

async function ask(url: URL): Promise<Answer> {
	try {
		const answer = await request(url, {signal: AbortSignal.timeout(requestTimeoutMilliseconds)});
		return {status: answer.statusCode, body: await answer.body.json()};
	} catch (error) {
		throw new NodeUnreachableError(`${url.origin} gave no answer that can be read`, {cause: error});
	}
}

function readExplanation({status, body}: Answer): Explanation {
	const {kind, code, detail} = (body ?? {}) as Readonly<Record<string, unknown>>;
	if (status === 200 && (kind === 'route' || kind === 'refused')) {
		return body as Explanation;
	}

	if (typeof code === 'string' && typeof detail === 'string') {
		throw new StatementRefusedError(code, detail, undefined);
	}

	throw new UnexpectedAnswerError(`the node answered with status ${status} and no explanation`);
}
