import {expect} from 'chai';
import {ManualClock} from '@fireflyglade/model';
import {ControlUnreachableError, StatementRefusedError, UnexpectedAnswerError} from '../errors/index.js';
import type {RawAnswer, StatementRequest} from '../create-statement-sender/index.js';
import {OperatorClient} from './index.js';

type Sent = {readonly url: string; readonly request: StatementRequest};

/** A clock whose timers fire at once, each moving the time on by its delay. */
class EagerClock extends ManualClock {
	override startTimer(delay: number, action: () => void): {cancel(): void} {
		const timer = super.startTimer(delay, action);
		this.advance(delay);
		return timer;
	}
}

const changed: RawAnswer = {
	status: 200,
	body: {
		kind: 'changed', revision: 4, inForce: ['north'], pending: [], cutOff: [],
	},
};

function refusal(status: number, code: string): RawAnswer {
	return {status, body: {error: {code, message: `${code} it is`, position: 3}}};
}

function createClient(answer: (sent: Sent, attempt: number) => RawAnswer): {client: OperatorClient; sent: Sent[]; clock: ManualClock} {
	const sent: Sent[] = [];
	const clock = new EagerClock();
	let commands = 0;
	const client = new OperatorClient({
		urls: ['http://one', 'http://two'],
		async send(url, request) {
			sent.push({url, request});
			return answer({url, request}, sent.length);
		},
		clock,
		createCommandId() {
			commands += 1;
			return `command-${commands}`;
		},
		retryTimeoutMilliseconds: 5000,
	});
	return {client, sent, clock};
}

async function failureOf(promise: Promise<unknown>): Promise<unknown> {
	try {
		await promise;
		return undefined;
	} catch (error) {
		return error;
	}
}

describe('OperatorClient', () => {
	it('resends a statement whose answer was lost to another control process under the same command id', async () => {
		const {client, sent} = createClient((_, attempt) => {
			if (attempt === 1) {
				throw new TypeError('connection reset');
			}

			return changed;
		});
		const answer = await client.execute('delete team brook');
		expect(answer.kind).equal('changed');
		expect(sent.map(({url}) => url)).deep.equal(['http://one', 'http://two']);
		expect(new Set(sent.map(({request}) => request.commandId)).size).equal(1);
	});

	it('gives every statement a command id of its own, and stays with the control process that answered', async () => {
		const {client, sent} = createClient(({url}) => url === 'http://two' ? changed : refusal(503, 'not-leader'));
		await client.execute('delete team brook');
		await client.execute('delete team fell');
		expect(sent.map(({url}) => url)).deep.equal(['http://one', 'http://two', 'http://two']);
		expect(sent.map(({request}) => request.commandId)).deep.equal(['command-1', 'command-1', 'command-2']);
	});

	it('does not resend a statement that was refused', async () => {
		const {client, sent} = createClient(() => refusal(409, 'revision-conflict'));
		const error = await failureOf(client.execute('delete team brook if revision 2'));
		expect(error).instanceOf(StatementRefusedError);
		expect((error as StatementRefusedError).code).equal('revision-conflict');
		expect((error as StatementRefusedError).position).equal(3);
		expect(sent.length).equal(1);
	});

	it('gives up once its patience ends', async () => {
		const {client, clock} = createClient(() => refusal(503, 'no-quorum'));
		expect(await failureOf(client.execute('show teams'))).instanceOf(ControlUnreachableError);
		expect(clock.now()).within(3000, 5000);
	});

	it('refuses an answer of an unknown form', async () => {
		const {client} = createClient(() => ({status: 200, body: ['changed']}));
		expect(await failureOf(client.execute('show teams'))).instanceOf(UnexpectedAnswerError);
	});
});
