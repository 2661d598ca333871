import {expect} from 'chai';
import {
	createNodeId, ManualClock, type RequestId, type TeamName,
} from '@fireflyglade/model';
import type {RateActions, RateLimiter, RateMessage} from '@fireflyglade/rates';
import {TeamCharges} from './index.js';

const team = 'council' as TeamName;
const request = 'a.1' as RequestId;
const nothing: RateActions = {decisions: [], messages: []};
const admitted: RateActions = {decisions: [{requestId: request, outcome: {kind: 'admitted'}}], messages: []};

function createCharges(charged: RateActions): {readonly charges: TeamCharges; readonly sent: RateMessage[]} {
	const sent: RateMessage[] = [];
	const keeper: Partial<RateLimiter> = {charge: () => charged, refund: () => nothing};
	const charges = new TeamCharges({
		keeper: keeper as RateLimiter,
		clock: new ManualClock(),
		send(message) {
			sent.push(message);
		},
	});
	return {charges, sent};
}

describe('TeamCharges', () => {
	it('answers at once where the keeper decides at once', () => {
		expect(createCharges(admitted).charges.charge(team, request)).to.deep.equal({kind: 'admitted'});
	});

	it('answers a charge that waits once the keeper decides', async () => {
		const {charges} = createCharges(nothing);
		const outcome = charges.charge(team, request);
		expect(outcome).to.be.instanceOf(Promise);
		charges.take(admitted);
		expect(await outcome).to.deep.equal({kind: 'admitted'});
	});

	it('sends what the keeper tells other nodes', () => {
		const message: RateMessage = {from: createNodeId('a'), to: createNodeId('b'), payload: {}};
		const {charges, sent} = createCharges({decisions: [], messages: [message]});
		void charges.charge(team, request);
		expect(sent).to.deep.equal([message]);
	});
});
