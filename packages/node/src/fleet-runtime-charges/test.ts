import {expect} from 'chai';
import {
	createNodeId, ManualClock, type RequestId, type TeamName,
} from '@fireflyglade/model';
import type {RateActions, RateLimiter, RateMessage} from '@fireflyglade/rates';
import {TeamCharges} from './index.js';

const team = 'council' as TeamName;
const request = 'a.1' as RequestId;
const noActions: RateActions = {decisions: [], messages: []};
const admitted: RateActions = {decisions: [{requestId: request, outcome: {kind: 'admitted'}}], messages: []};

function createCharges(charged: RateActions): {readonly charges: TeamCharges; readonly sent: RateMessage[]} {
	const sent: RateMessage[] = [];
	const rateLimiter: Partial<RateLimiter> = {charge: () => charged, refund: () => noActions};
	const charges = new TeamCharges({
		rateLimiter: rateLimiter as RateLimiter,
		clock: new ManualClock(),
		send(message) {
			sent.push(message);
		},
	});
	return {charges, sent};
}

describe('TeamCharges', () => {
	it('returns the outcome synchronously if the rate limiter decides immediately', () => {
		expect(createCharges(admitted).charges.charge(team, request)).to.deep.equal({kind: 'admitted'});
	});

	it('resolves a pending charge once the rate limiter decides', async () => {
		const {charges} = createCharges(noActions);
		const outcome = charges.charge(team, request);
		expect(outcome).to.be.instanceOf(Promise);
		charges.applyActions(admitted);
		expect(await outcome).to.deep.equal({kind: 'admitted'});
	});

	// Guards against a team's unimportant requests using up its tokens, and against callers that all return at once.
	it('refuses unimportant requests without a charge while the team exceeds its rate, with a later retry', () => {
		const clock = new ManualClock();
		let charged = 0;
		const rateLimiter: Partial<RateLimiter> = {
			charge(_team, requestId) {
				charged++;
				return {decisions: [{requestId, outcome: charged % 4 === 0 ? {kind: 'admitted'} : {kind: 'refused', retryAfterMilliseconds: 20}}], messages: []};
			},
		};
		const charges = new TeamCharges({rateLimiter: rateLimiter as RateLimiter, clock, send() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
		let last = charges.charge(team, request, 5);
		for (let index = 0; index < 400; index++) {
			clock.advance(5);
			void charges.charge(team, `important.${index}` as RequestId, 0);
			last = charges.charge(team, `other.${index}` as RequestId, 5);
		}

		expect(charged).to.be.lessThan(600);
		expect(last).to.deep.include({kind: 'refused'});
		expect((last as {retryAfterMilliseconds: number}).retryAfterMilliseconds).to.be.greaterThan(400);
	});

	it('sends the messages of the rate limiter to other nodes', () => {
		const message: RateMessage = {from: createNodeId('a'), to: createNodeId('b'), payload: {}};
		const {charges, sent} = createCharges({decisions: [], messages: [message]});
		void charges.charge(team, request);
		expect(sent).to.deep.equal([message]);
	});
});
