import {expect} from 'chai';
import {SeededRandom} from '@fireflyglade/model';
import {RootShare} from './index.js';

/** Requests a second of one priority, and the work that each asks of the service below. */
type Load = {readonly priority: number; readonly perSecond: number; readonly workBelow: number};

type Replay = {readonly served: readonly number[]; readonly offered: readonly number[]};

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
			share?.record(loads[index]!.priority, isServed ? 'served' : 'lacked-room', admittedAt, now);
		}

		for (const [index, load] of loads.entries()) {
			due[index] = due[index]! + (load.perSecond * stepMilliseconds / 1000);
			while (due[index]! >= 1) {
				due[index] = due[index]! - 1;
				offered[index] = offered[index]! + 1;
				if (share !== undefined && !share.admits(load.priority, now, random)) {
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

	it('lets everything in while nothing lacks room', () => {
		const share = new RootShare();
		for (let now = 0; now < 1000; now += 10) {
			expect(share.admits(2, now, random)).to.equal(true);
			share.record(2, 'served', now, now);
		}
	});

	it('lowers the least important priority in use first', () => {
		const share = new RootShare();
		share.admits(0, 0, random);
		share.admits(2, 0, random);
		share.record(0, 'lacked-room', 1, 1);
		share.record(0, 'lacked-room', 1, 1);
		expect(share.share(2, 1)).to.be.lessThan(1);
		expect(share.share(0, 1)).to.equal(1);
	});

	it('never lowers what is more important than the request that failed', () => {
		const share = new RootShare();
		share.admits(0, 0, random);
		share.admits(2, 0, random);
		for (let count = 0; count < 100; count++) {
			share.record(2, 'lacked-room', count, count);
		}

		expect(share.share(0, 100)).to.equal(1);
		expect(share.share(2, 100)).to.be.lessThan(0.1);
	});

	it('lowers the more important once the less important are as low as they go', () => {
		const share = new RootShare();
		share.admits(0, 0, random);
		share.admits(2, 0, random);
		for (let count = 1; count <= 40; count++) {
			share.record(0, 'lacked-room', count, count);
		}

		expect(share.share(2, 40)).to.be.lessThan(0.1);
		expect(share.share(0, 40)).to.be.lessThan(1);
	});

	it('passes over failures of requests that came in before the shares were lowered', () => {
		const share = new RootShare();
		share.admits(2, 0, random);
		share.record(2, 'lacked-room', 10, 20);
		share.record(2, 'lacked-room', 10, 20);
		const lowered = share.share(2, 20);
		for (let count = 0; count < 50; count++) {
			share.record(2, 'lacked-room', 10, 20);
		}

		expect(share.share(2, 20)).to.equal(lowered);
	});

	it('passes over the odd failure among many successes', () => {
		const share = new RootShare();
		for (let count = 0; count < 400; count++) {
			share.admits(2, count * 50, random);
			share.record(2, count % 50 === 0 ? 'lacked-room' : 'served', count * 50, count * 50);
			expect(share.share(2, count * 50)).to.equal(1);
		}
	});

	it('comes back to one by itself when no more news come', () => {
		const share = new RootShare();
		share.admits(2, 0, random);
		share.record(2, 'lacked-room', 1, 1);
		share.record(2, 'lacked-room', 1, 1);
		expect(share.share(2, 1)).to.be.lessThan(1);
		expect(share.share(2, 40_000)).to.equal(1);
	});

	it('serves the important whole in a burst of 1.7 times, where all would fail alike without it', () => {
		// Two kinds of requests ask eight calls each of the service below, a third one asks for two.
		const loads: readonly Load[] = [
			{priority: 0, perSecond: 8, workBelow: 8},
			{priority: 1, perSecond: 6, workBelow: 2},
			{priority: 2, perSecond: 16, workBelow: 8},
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
