/**
Calls one control process after the other until one answers. The process that answered
last is called first.
*/

import type {RpcClient, RpcMethod} from '@fireflyglade/transport';

/** Options of a caller. */
export type ControlCallerOptions = {
	readonly client: RpcClient;
	/** Returns the RPC addresses of control processes. */
	readonly control: () => readonly string[];
	/** Milliseconds that one control process has to answer. */
	readonly timeoutMilliseconds: number;
};

/** Calls control processes with idempotent requests. */
export class ControlCaller {
	readonly #options: ControlCallerOptions;
	/** Index of the control process that is called next, modulo their number. */
	#preferredIndex = 0;

	constructor(options: ControlCallerOptions) {
		this.#options = options;
	}

	/**
	Calls each control process once, at most, until one gives an answer that `isAnswer` accepts.

	@returns The answer; `undefined` if there was none.
	*/
	async call<Request, Response>(method: RpcMethod<Request, Response>, request: Request, isAnswer: (response: Response) => boolean): Promise<Response | undefined> {
		const addresses = this.#options.control();
		for (const _address of addresses) {
			const answer = await this.#callOne(method, addresses[this.#preferredIndex % addresses.length]!, request);
			if (answer !== undefined && isAnswer(answer)) {
				return answer;
			}

			this.#preferredIndex += 1;
		}

		return undefined;
	}

	async #callOne<Request, Response>(method: RpcMethod<Request, Response>, address: string, request: Request): Promise<Response | undefined> {
		const {client, timeoutMilliseconds} = this.#options;
		try {
			return await client.call(method, address, request, {timeoutMilliseconds});
		} catch {
			// The next control process is called; `call` returns `undefined` if none answers.
			return undefined;
		}
	}
}
