import {createTeamName} from '@fireflyglade/model';
import {expect} from 'chai';
import {service} from '../test-support/targets/index.js';
import {EntryThrottle, type ThrottleKey} from './index.js';

const defaultKey: ThrottleKey = {service, team: createTeamName('one'), priority: 5};

/** Sends `perSecond` requests per second for `seconds`, of which the gates accept at most `acceptedPerSecond`; returns the number that the throttle refused. */
function sendRequests(throttle: EntryThrottle, from: number, load: {readonly perSecond: number; readonly seconds: number; readonly acceptedPerSecond: number}, key = defaultKey): number {
	let refused = 0;
	let accepted = 0;
	for (let index = 0; index < load.perSecond * load.seconds; index++) {
		const elapsed = index / load.perSecond;
		if (throttle.shouldRefuse(key, from + (elapsed * 1000))) {
			refused++;
			continue;
		}

		if (accepted < elapsed * load.acceptedPerSecond) {
			accepted++;
			throttle.recordAccepted(key, from + (elapsed * 1000));
			continue;
		}

		throttle.recordRefused(key, from + (elapsed * 1000));
	}

	return refused;
}

describe('EntryThrottle', () => {
	it('refuses nothing while the gates accept at least half of the requests', () => {
		expect(sendRequests(new EntryThrottle(), 0, {perSecond: 200, seconds: 5, acceptedPerSecond: 110})).to.equal(0);
	});

	it('refuses most of a burst and still forwards as many requests as the gates can accept', () => {
		const refused = sendRequests(new EntryThrottle(), 0, {perSecond: 1000, seconds: 5, acceptedPerSecond: 100});
		expect(refused / 5000).to.be.within(0.6, 0.85);
	});

	it('stops within three seconds after the gates accept all requests again', () => {
		const throttle = new EntryThrottle();
		sendRequests(throttle, 0, {perSecond: 1000, seconds: 5, acceptedPerSecond: 20});
		sendRequests(throttle, 5000, {perSecond: 100, seconds: 3, acceptedPerSecond: 1000});
		expect(sendRequests(throttle, 8000, {perSecond: 100, seconds: 3, acceptedPerSecond: 1000})).to.equal(0);
	});

	it('states the time until requests are sent to the gates again, so that refused callers don\'t come back too early', () => {
		const throttle = new EntryThrottle();
		expect(throttle.recoveryMilliseconds(defaultKey, 0)).to.equal(0);
		sendRequests(throttle, 0, {perSecond: 1000, seconds: 5, acceptedPerSecond: 20});
		for (let count = 0; count < 200; count++) {
			throttle.recordRefused(defaultKey, 5000);
		}

		const recovery = throttle.recoveryMilliseconds(defaultKey, 5000);
		expect(throttle.shouldRefuse(defaultKey, 5000 + recovery - 10)).to.equal(true);
		expect(throttle.shouldRefuse(defaultKey, 5000 + recovery + 10)).to.equal(false);
	});

	it('throttles teams and priorities independently', () => {
		const throttle = new EntryThrottle();
		sendRequests(throttle, 0, {perSecond: 1000, seconds: 2, acceptedPerSecond: 10});
		expect(sendRequests(throttle, 2000, {perSecond: 100, seconds: 1, acceptedPerSecond: 1000}, {...defaultKey, priority: 0})).to.equal(0);
		expect(sendRequests(throttle, 2000, {perSecond: 100, seconds: 1, acceptedPerSecond: 1000}, {...defaultKey, team: createTeamName('two')})).to.equal(0);
	});
});
