import {expect} from 'chai';
import {createRouteId, SeededRandom} from '@fireflyglade/model';
import {RootShare, type RootRoute} from './index.js';

/** Requests a second of one route, and the work that each asks of the service below. */
type Load = {readonly route: RootRoute; readonly perSecond: number; readonly workBelow: number};

type Replay = {readonly served: readonly number[]; readonly offered: readonly number[]};

const signoff: RootRoute = {id: createRouteId('POST', '/signoff'), priority: 0};
const order: RootRoute = {id: createRouteId('POST', '/order'), priority: 0};
const schedule: RootRoute = {id: createRouteId('GET', '/schedule'), priority: 1};
const lookup: RootRoute = {id: createRouteId('GET', '/lookup'), priority: 2};

const stepMilliseconds = 10;
const answerMilliseconds = 400;
/** Work that a gate lets wait. */
const queueSeconds = 0.25;

/**
Replays loads on a graph whose lowest service does `capacity` units of work in a
second. Within a second it takes what comes first; a request that finds no room
fails after its time, and so do all parts of it.
*/
function replay(loads: readonly Load[], capacity: number, seconds: number, share: RootShare | undefined): Replay {
	const random = new SeededRandom(7);
	const served = loads.map(() => 0);
	const offered = loads.map(() => 0);
	const due = loads.map(() => 0);
	const answers: Array<{readonly at: number; readonly admittedAt: number; readonly index: number; readonly isServed: boolean}> = [];
	let room = 0;
	for (let now = 0; now < seconds * 1000; now += stepMilliseconds) {
		room = Math.min(capacity * queueSeconds, room + (capacity * stepMilliseconds / 1000));
		while (answers.length > 0 && answers[0]!.at <= now) {
			const {index, isServed, admittedAt} = answers.shift()!;
			served[index] = served[index]! + Number(isServed);
			share?.record(loads[index]!.route, isServed ? 'served' : 'lacked-room', admittedAt, now);
		}

		for (const [index, load] of loads.entries()) {
			due[index] = due[index]! + (load.perSecond * stepMilliseconds / 1000);
			while (due[index] >= 1) {
				due[index] -= 1;
				offered[index] = offered[index]! + 1;
				if (share !== undefined && !share.admits(load.route, now, random)) {
					continue;
				}

				const isServed = room >= load.workBelow;
				room = Math.max(0, room - load.workBelow);
				answers.push({
					at: now + answerMilliseconds, admittedAt: now, index, isServed,
				});
			}
		}
	}

	return {served, offered};
}

describe('RootShare', () => {
	const random = new SeededRandom(3);

	function createShare(...routes: readonly RootRoute[]): RootShare {
		const share = new RootShare();
		for (const route of routes) {
			share.admits(route, 0, random);
		}

		return share;
	}

	function fail(share: RootShare, route: RootRoute, times: number): void {
		for (let count = 1; count <= times; count++) {
			share.record(route, 'lacked-room', count, count);
		}
	}

	it('lets everything in while nothing lacks room', () => {
		const share = createShare();
		for (let now = 0; now < 1000; now += 10) {
			expect(share.admits(lookup, now, random)).to.equal(true);
			share.record(lookup, 'served', now, now);
		}

		expect(share.isOpen(1000)).to.equal(true);
	});

	it('lowers the least important route in use first', () => {
		const share = createShare(signoff, schedule, lookup);
		fail(share, signoff, 2);
		expect(share.share(lookup.id, 2)).to.be.lessThan(1);
		expect(share.share(schedule.id, 2)).to.equal(1);
		expect(share.share(signoff.id, 2)).to.equal(1);
		expect(share.isOpen(2)).to.equal(false);
	});

	it('never lowers what is more important than the request that failed, or as important', () => {
		const share = createShare(signoff, order, schedule, lookup);
		fail(share, lookup, 100);
		expect(share.share(schedule.id, 100)).to.equal(1);
		expect(share.share(lookup.id, 100)).to.be.lessThan(0.35);
		fail(share, signoff, 100);
		expect(share.share(order.id, 100)).to.equal(1);
	});

	it('lowers a route for its own sake only to where it does not take the room itself', () => {
		const share = createShare(signoff);
		fail(share, signoff, 100);
		expect(share.share(signoff.id, 100)).to.be.within(0.3, 0.35);
	});

	it('lowers the failed route once the less important are as low as they go', () => {
		const share = createShare(signoff, lookup);
		fail(share, signoff, 40);
		expect(share.share(lookup.id, 40)).to.be.lessThan(0.15);
		expect(share.share(signoff.id, 40)).to.be.lessThan(1);
	});

	it('passes over failures of requests that came in before the shares were lowered', () => {
		const share = createShare(lookup);
		share.record(lookup, 'lacked-room', 10, 20);
		share.record(lookup, 'lacked-room', 10, 20);
		const lowered = share.share(lookup.id, 20);
		expect(lowered).to.be.lessThan(1);
		for (let count = 0; count < 50; count++) {
			share.record(lookup, 'lacked-room', 10, 20);
		}

		expect(share.share(lookup.id, 20)).to.equal(lowered);
	});

	it('passes over the odd failure among many successes', () => {
		const share = createShare();
		for (let count = 0; count < 400; count++) {
			share.admits(lookup, count * 50, random);
			share.record(lookup, count % 50 === 0 ? 'lacked-room' : 'served', count * 50, count * 50);
			expect(share.share(lookup.id, count * 50)).to.equal(1);
		}
	});

	it('comes back within the 15 s that users allow for recovery, however few requests the node has', () => {
		const share = createShare(signoff, lookup);
		fail(share, signoff, 100);
		expect(share.share(lookup.id, 100)).to.be.lessThan(0.15);
		expect(share.share(lookup.id, 15_000)).to.equal(1);
		expect(share.isOpen(15_000)).to.equal(true);
	});

	it('serves the important whole in a burst of 1.57 times, where all would fail alike without it', () => {
		// Two routes ask eight calls each of the service below, a third one asks for two.
		const loads: readonly Load[] = [
			{route: signoff, perSecond: 8, workBelow: 8},
			{route: schedule, perSecond: 6, workBelow: 2},
			{route: lookup, perSecond: 16, workBelow: 8},
		];
		const capacity = 130;
		const without = replay(loads, capacity, 30, undefined);
		const {served, offered} = replay(loads, capacity, 30, new RootShare());
		expect(without.served[0]! / without.offered[0]!).to.be.lessThan(0.8);
		expect(served[0]! / offered[0]!).to.be.greaterThan(0.9);
		expect(served[1]! / offered[1]!).to.be.greaterThan(0.9);
		// What is left over for the least important is 0.42 of what they ask.
		expect(served[2]! / offered[2]!).to.be.greaterThan(0.2);
	});
});
