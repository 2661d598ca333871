/**
The HTTP listener for operators. Statements are authenticated with a bearer token.
*/

import {createHash, timingSafeEqual} from 'node:crypto';
import {H3, toNodeHandler, type H3Event} from 'h3';
import {bytesInKibibyte, InvalidInputError, type CommandId} from '@fireflyglade/model';
import {HttpListener, readCallBody, type ProcessResources} from '@fireflyglade/transport';
import {describeStatementError, statusOfStatementError} from '../_lib/describe-statement-error.js';
import {UnknownOperatorError} from '../errors/index.js';
import type {Operator, StatementService} from '../statement-service/index.js';

/** Dependencies and settings of the listener. */
export type OperatorListenerOptions = {
	readonly statements: StatementService;
	readonly operators: readonly Operator[];
	/** True if the process can execute statements. */
	readonly isReady: () => boolean;
	/** What the listeners of the process share. */
	readonly resources: ProcessResources;
};

const maximumBodyBytes = 64 * bytesInKibibyte;
const listenerLimits = {maximumHeaderBytes: 16 * bytesInKibibyte, maximumConnections: 500, requestTimeoutMilliseconds: 20_000};
const closeTimeoutMilliseconds = 10_000;
const bearerPrefix = 'Bearer ';
const commandIdPattern = /^[\w-]{8,64}$/;

function hashToken(value: string): Uint8Array {
	return createHash('sha256').update(value).digest();
}

function readField(body: unknown, name: string): string {
	const value = typeof body === 'object' && body !== null ? (body as Record<string, unknown>)[name] : undefined;
	if (typeof value !== 'string') {
		throw new InvalidInputError(`the body needs a text ${JSON.stringify(name)}`);
	}

	return value;
}

function readCommandId(body: unknown): CommandId {
	const value = readField(body, 'commandId');
	if (!commandIdPattern.test(value)) {
		throw new InvalidInputError('a command id takes 8 to 64 letters, digits, "_" or "-"');
	}

	return value as CommandId;
}

async function readJson(event: H3Event): Promise<unknown> {
	const body = await readCallBody(event, maximumBodyBytes);
	try {
		return JSON.parse(Buffer.from(body).toString()) as unknown;
	} catch (error: unknown) {
		throw new InvalidInputError('the body is no JSON', {cause: error});
	}
}

/** The HTTP listener for operators. */
export class OperatorListener {
	readonly #options: OperatorListenerOptions;
	readonly #tokens: ReadonlyArray<{readonly digest: Uint8Array; readonly operator: Operator}>;
	readonly #listener: HttpListener;

	constructor(options: OperatorListenerOptions) {
		this.#options = options;
		this.#tokens = options.operators.map(operator => ({digest: hashToken(operator.token), operator}));
		const app = new H3();
		app.post('/v1/statements', async event => this.#answer(event));
		app.get('/healthz', () => ({status: 'alive'}));
		app.get('/readyz', () => this.#answerReadiness());
		this.#listener = new HttpListener(toNodeHandler(app), {...listenerLimits, resources: options.resources});
	}

	/**
	Listens on `host:port` and returns the base URL. Port 0 takes any free port.

	@throws {Error} The address can't be listened on.
	*/
	async listen(address: string): Promise<string> {
		return `http://${await this.#listener.listen(address)}`;
	}

	/** Accepts no new connections, and waits until the running statements are answered, for up to ten seconds. */
	async close(): Promise<void> {
		await this.#listener.close(closeTimeoutMilliseconds);
	}

	async #answer(event: H3Event): Promise<Response> {
		try {
			const operator = this.#authenticate(event.req.headers.get('authorization') ?? '');
			const body = await readJson(event);
			const answer = await this.#options.statements.execute({
				statement: readField(body, 'statement'), commandId: readCommandId(body), operator,
			});
			return Response.json(answer);
		} catch (error: unknown) {
			return Response.json(describeStatementError(error), {status: statusOfStatementError(error)});
		}
	}

	#answerReadiness(): Response {
		const isReady = this.#options.isReady();
		return Response.json({status: isReady ? 'ready' : 'no quorum, or the disk was lost'}, {status: isReady ? 200 : 503});
	}

	/** Finds the operator for the bearer token in an `authorization` header. It compares all tokens in constant time, so that the duration reveals nothing about them. */
	#authenticate(header: string): Operator {
		const given = hashToken(header.startsWith(bearerPrefix) ? header.slice(bearerPrefix.length) : '');
		let found: Operator | undefined;
		for (const token of this.#tokens) {
			if (timingSafeEqual(token.digest, given)) {
				found = token.operator;
			}
		}

		if (found === undefined) {
			throw new UnknownOperatorError('the operator token is missing or unknown');
		}

		return found;
	}
}
