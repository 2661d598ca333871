import {createTeamName} from '@fireflyglade/model';
import {expect} from 'chai';
import {service} from '../test-support/targets/index.js';
import {EntryThrottle, type ThrottleKey} from './index.js';

const usual: ThrottleKey = {service, team: createTeamName('one'), priority: 5};

/** Offers `perSecond` requests a second for `seconds`, of which gates take at most `takenPerSecond`; returns those that were refused at once. */
function offer(throttle: EntryThrottle, from: number, change: {readonly perSecond: number; readonly seconds: number; readonly takenPerSecond: number}, key = usual): number {
	let refused = 0;
	let taken = 0;
	for (let index = 0; index < change.perSecond * change.seconds; index++) {
		const elapsed = index / change.perSecond;
		if (throttle.shouldRefuse(key, from + (elapsed * 1000))) {
			refused++;
			continue;
		}

		if (taken < elapsed * change.takenPerSecond) {
			taken++;
			throttle.recordAccepted(key, from + (elapsed * 1000));
			continue;
		}

		throttle.recordRefused(key, from + (elapsed * 1000));
	}

	return refused;
}

describe('EntryThrottle', () => {
	it('refuses nothing while gates take half or more', () => {
		expect(offer(new EntryThrottle(), 0, {perSecond: 200, seconds: 5, takenPerSecond: 110})).to.equal(0);
	});

	it('refuses most of a storm, and still passes on what the gates can take', () => {
		const refused = offer(new EntryThrottle(), 0, {perSecond: 1000, seconds: 5, takenPerSecond: 100});
		expect(refused / 5000).to.be.within(0.6, 0.85);
	});

	it('ends within three seconds after the gates take all again', () => {
		const throttle = new EntryThrottle();
		offer(throttle, 0, {perSecond: 1000, seconds: 5, takenPerSecond: 20});
		offer(throttle, 5000, {perSecond: 100, seconds: 3, takenPerSecond: 1000});
		expect(offer(throttle, 8000, {perSecond: 100, seconds: 3, takenPerSecond: 1000})).to.equal(0);
	});

	it('keeps teams and priorities apart', () => {
		const throttle = new EntryThrottle();
		offer(throttle, 0, {perSecond: 1000, seconds: 2, takenPerSecond: 10});
		expect(offer(throttle, 2000, {perSecond: 100, seconds: 1, takenPerSecond: 1000}, {...usual, priority: 0})).to.equal(0);
		expect(offer(throttle, 2000, {perSecond: 100, seconds: 1, takenPerSecond: 1000}, {...usual, team: createTeamName('two')})).to.equal(0);
	});
});
