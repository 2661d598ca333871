/**
The HTTP listener for operators. Statements are authenticated with a bearer token.
*/

import {createHash, timingSafeEqual} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	bodyLimit, H3, toNodeHandler, type H3Event,
} from 'h3';
import {InvalidInputError, type CommandId} from '@fireflyglade/model';
import {describeStatementError, statusOfStatementError} from '../_lib/describe-statement-error.js';
import {UnknownOperatorError} from '../errors/index.js';
import type {Operator, StatementService} from '../statement-service/index.js';

/** Dependencies and settings of the listener. */
export type OperatorListenerOptions = {
	readonly statements: StatementService;
	readonly operators: readonly Operator[];
	/** True if the process can execute statements. */
	readonly isReady: () => boolean;
};

const maximumBodyBytes = 65_536;
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
	const text = await event.req.text();
	try {
		return JSON.parse(text) as unknown;
	} catch (error: unknown) {
		throw new InvalidInputError('the body is no JSON', {cause: error});
	}
}

/** The HTTP listener for operators. */
export class OperatorListener {
	readonly #options: OperatorListenerOptions;
	readonly #tokens: ReadonlyArray<{readonly digest: Uint8Array; readonly operator: Operator}>;
	readonly #server: Server;

	constructor(options: OperatorListenerOptions) {
		this.#options = options;
		this.#tokens = options.operators.map(operator => ({digest: hashToken(operator.token), operator}));
		const app = new H3();
		app.use(bodyLimit(maximumBodyBytes));
		app.post('/v1/statements', async event => this.#answer(event));
		app.get('/healthz', () => ({status: 'alive'}));
		app.get('/readyz', () => this.#answerReadiness());
		this.#server = createServer(toNodeHandler(app));
	}

	/**
	Listens on `host:port` and returns the base URL. Port 0 takes any free port.

	@throws {Error} The address can't be listened on.
	*/
	async listen(address: string): Promise<string> {
		const separator = address.lastIndexOf(':');
		const host = address.slice(0, separator);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(address.slice(separator + 1)), host.replaceAll(/[[\]]/g, ''), resolve);
		});
		return `http://${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Accepts no new connections, and waits until the running statements are answered. */
	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
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
