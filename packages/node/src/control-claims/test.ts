import {expect} from 'chai';
import {
	createNodeId, createTeamName, ManualClock, type JobKey, type RequestId,
} from '@fireflyglade/model';
import type {ClaimRequest} from '@fireflyglade/state';
import {
	encodeMessage, RpcError, type RpcClient, type RpcMethod,
} from '@fireflyglade/transport';
import {catchError} from '../test-support/catch-error.js';
import {ClaimError, ControlClaims} from './index.js';

const claim: ClaimRequest = {
	team: createTeamName('crews'), job: 'order-1' as JobKey, requestId: 'request-1' as RequestId, gate: createNodeId('node-1'), gateIncarnation: 'first', fingerprint: 'abc',
};

type FakeControl = {readonly client: RpcClient; readonly calledAddresses: string[]; readonly silent: Set<string>};

/** Creates an RPC client whose calls to addresses in `silent` time out; all other addresses grant every claim. */
function createFakeControl(): FakeControl {
	const calledAddresses: string[] = [];
	const silent = new Set<string>();
	const granted: unknown = {kind: 'result', result: encodeMessage({kind: 'claim', result: {kind: 'granted'}})};
	const client: RpcClient = {
		async call<Request, Response>(_method: RpcMethod<Request, Response>, address: string): Promise<Response> {
			calledAddresses.push(address);
			if (silent.has(address)) {
				throw new RpcError('timeout', 'no answer');
			}

			return granted as Response;
		},
		close() {
			calledAddresses.length = 0;
		},
	};
	return {client, calledAddresses, silent};
}

describe('ControlClaims', () => {
	it('submits to the next control process if one does not answer, and keeps using it', async () => {
		const {client, calledAddresses, silent} = createFakeControl();
		const claims = new ControlClaims({client, control: ['a', 'b'], clock: new ManualClock()});
		silent.add('a');
		expect(await claims.begin(claim)).to.deep.equal({kind: 'granted'});
		expect(await claims.begin(claim)).to.deep.equal({kind: 'granted'});
		expect(calledAddresses).to.deep.equal(['a', 'b', 'b']);
	});

	it('refuses claims immediately for 1 second after no control process answered, then submits again', async () => {
		const {client, calledAddresses, silent} = createFakeControl();
		const clock = new ManualClock();
		const claims = new ControlClaims({client, control: ['a', 'b'], clock});
		silent.add('a').add('b');
		expect(await catchError(claims.begin(claim))).to.be.instanceOf(ClaimError);
		expect(await catchError(claims.begin(claim))).to.be.instanceOf(ClaimError);
		expect(calledAddresses).to.deep.equal(['a', 'b']);
		silent.clear();
		clock.advance(1000);
		expect(await claims.begin(claim)).to.deep.equal({kind: 'granted'});
	});
});
