import {createRouteId, createTeamName} from '@fireflyglade/model';
import {expect} from 'chai';
import {StatedTimeouts} from './index.js';

const route = createRouteId('GET', '/lookup');
const red = createTeamName('red');

describe('StatedTimeouts', () => {
	it('estimates the time that a returning caller has spent, so that its objective is not counted from its last attempt', () => {
		const timeouts = new StatedTimeouts();
		expect(timeouts.record(route, red, 2000, 0)).to.equal(0);
		expect(timeouts.record(route, red, 1400, 600)).to.equal(600);
		expect(timeouts.record(route, red, 2000, 700)).to.equal(0);
	});

	it('does not take another team\'s shorter timeout for time spent', () => {
		const timeouts = new StatedTimeouts();
		timeouts.record(route, red, 5000, 0);
		expect(timeouts.record(route, createTeamName('blue'), 1200, 0)).to.equal(0);
	});

	// Guards against one caller with a longer timeout making all others of its team count as late, so that they run last and are shed first.
	it('does not take one caller\'s longer timeout for that of the others', () => {
		const timeouts = new StatedTimeouts();
		for (let now = 0; now < 1000; now += 100) {
			timeouts.record(route, red, 1200, now);
		}

		timeouts.record(route, red, 60_000, 1000);
		expect(timeouts.record(route, red, 1200, 1100)).to.equal(0);
	});

	it('forgets a timeout that is no longer stated', () => {
		const timeouts = new StatedTimeouts();
		timeouts.record(route, red, 5000, 0);
		expect(timeouts.record(route, red, 2000, 12_000)).to.equal(3000);
		expect(timeouts.record(route, red, 2000, 24_000)).to.equal(0);
	});
});
