import {expect} from 'chai';
import {createRouteId, createServiceName, SeededRandom} from '@fireflyglade/model';
import {RootLoadShedder, type RootRoute} from './index.js';

const signoff: RootRoute = {id: createRouteId('POST', '/signoff'), priority: 0};
const order: RootRoute = {id: createRouteId('POST', '/order'), priority: 0};
const schedule: RootRoute = {id: createRouteId('GET', '/schedule'), priority: 1};
const lookup: RootRoute = {id: createRouteId('GET', '/lookup'), priority: 2};

const stock = createServiceName('stock');
const register = createServiceName('register');
const longWait = 250;

/** Milliseconds that a request of each route takes. */
const answerMilliseconds = new Map([[signoff, 500], [order, 400], [schedule, 60], [lookup, 450]]);

describe('RootShare', () => {
	const random = new SeededRandom(3);

	/** As many requests of each route, all through one service. */
	function createShare(...routes: readonly RootRoute[]): RootLoadShedder {
		const share = new RootLoadShedder();
		ask(share, routes, 0);
		return share;
	}

	function ask(share: RootLoadShedder, routes: readonly RootRoute[], now: number): void {
		for (const route of routes) {
			share.admits(route, now, random);
			share.recordLatency(route, answerMilliseconds.get(route)!, now);
			share.recordRouteDelay(route, {service: stock, waitMilliseconds: longWait}, now);
		}
	}

	/** Tells a wait every 10 ms, while requests go on; returns the time at the end. */
	function crowd(share: RootLoadShedder, routes: readonly RootRoute[], waitMilliseconds: number, milliseconds: number): number {
		for (let now = 0; now <= milliseconds; now += 10) {
			ask(share, routes, now);
			share.hear({service: stock, waitMilliseconds}, now);
		}

		return milliseconds;
	}

	it('lets everything in while calls wait no longer than is accepted', () => {
		const share = createShare(signoff, lookup);
		const end = crowd(share, [signoff, lookup], 35, 5000);
		expect(share.admitsAll(end)).to.equal(true);
		expect(share.share(lookup, end)).to.equal(1);
		expect(share.admits(lookup, end, random)).to.equal(true);
	});

	it('lowers the least important route through the crowded service first', () => {
		const share = createShare(signoff, schedule, lookup);
		const end = crowd(share, [signoff, schedule, lookup], 180, 250);
		expect(share.share(lookup, end)).to.be.lessThan(0.6);
		expect(share.share(schedule, end)).to.equal(1);
		expect(share.share(signoff, end)).to.equal(1);
		expect(share.admitsAll(end)).to.equal(false);
	});

	it('cuts by how long the wait is', () => {
		const little = createShare(lookup);
		const much = createShare(lookup);
		crowd(little, [lookup], 50, 250);
		crowd(much, [lookup], longWait, 250);
		expect(little.share(lookup, 250)).to.be.within(0.9, 0.99);
		expect(much.share(lookup, 250)).to.be.within(0.6, 0.7);
	});

	it('never turns a route away whose requests occupy little, as that would make no room', () => {
		const share = createShare(signoff, schedule, lookup);
		const end = crowd(share, [signoff, schedule, lookup], longWait, 20_000);
		expect(share.share(schedule, end)).to.equal(1);
	});

	it('turns nothing away of routes that have never been served, as nobody knows what they occupy', () => {
		const share = createShare(lookup);
		const end = crowd(share, [lookup], longWait, 250);
		const unserved: RootRoute = {id: createRouteId('GET', '/new'), priority: 1};
		const later = end + 3000;
		share.admits(unserved, later, random);
		share.recordRouteDelay(unserved, {service: stock, waitMilliseconds: longWait}, later);
		share.admits(unserved, later + 250, random);
		expect(share.admitsAll(later + 250)).to.equal(false);
		expect(share.share(unserved, later + 250)).to.equal(1);
	});

	it('leaves routes alone that don\'t come through the crowded service', () => {
		const share = new RootLoadShedder();
		for (let now = 0; now <= 10_000; now += 10) {
			ask(share, [signoff, lookup], now);
			share.admits(order, now, random);
			share.recordLatency(order, 110, now);
			share.recordRouteDelay(order, {service: register, waitMilliseconds: longWait}, now);
			share.hear({service: stock, waitMilliseconds: longWait}, now);
		}

		expect(share.share(order, 10_000)).to.equal(1);
		expect(share.share(lookup, 10_000)).to.be.lessThan(0.5);
	});

	it('keeps a part of each route however long calls wait, more of the most important', () => {
		const share = createShare(signoff, lookup);
		const end = crowd(share, [signoff, lookup], longWait, 60_000);
		expect(share.share(lookup, end)).to.be.within(0.25, 0.35);
		expect(share.share(signoff, end)).to.be.within(0.5, 0.7);
	});

	it('lowers the most important only once the less important are as low as they go', () => {
		const share = createShare(signoff, lookup);
		for (let now = 0; now <= 60_000; now += 10) {
			ask(share, [signoff, lookup], now);
			share.hear({service: stock, waitMilliseconds: longWait}, now);
			expect(share.share(signoff, now) === 1 || share.share(lookup, now) < 0.26).to.equal(true);
		}
	});

	it('cuts once for each time in which the effect can be seen', () => {
		const share = createShare(lookup);
		crowd(share, [lookup], longWait, 250);
		const lowered = share.share(lookup, 250);
		for (let now = 260; now < 700; now += 10) {
			ask(share, [lookup], now);
			share.hear({service: stock, waitMilliseconds: longWait}, now);
		}

		expect(share.share(lookup, 700)).to.be.within(lowered, lowered + 0.05);
	});

	it('passes over a single long wait among many short ones', () => {
		const share = createShare(lookup);
		for (let now = 0; now < 20_000; now += 10) {
			ask(share, [lookup], now);
			share.hear({service: stock, waitMilliseconds: now % 200 === 0 ? longWait : 10}, now);
			expect(share.share(lookup, now)).to.equal(1);
		}
	});

	it('comes back within the 15 s that users allow for recovery, however few requests the node has', () => {
		const share = createShare(signoff, lookup);
		const end = crowd(share, [signoff, lookup], longWait, 10_000);
		expect(share.share(lookup, end)).to.be.lessThan(0.35);
		share.admits(lookup, end + 14_000, random);
		expect(share.share(lookup, end + 15_000)).to.equal(1);
		expect(share.admitsAll(end + 15_000)).to.equal(true);
	});

	it('tells the requests of teams apart that differ in importance on the same route', () => {
		const urgent: RootRoute = {...lookup, priority: 0};
		const share = new RootLoadShedder();
		for (let now = 0; now <= 250; now += 10) {
			for (const route of [urgent, lookup]) {
				share.admits(route, now, random);
				share.recordLatency(route, 450, now);
				share.recordRouteDelay(route, {service: stock, waitMilliseconds: longWait}, now);
			}

			share.hear({service: stock, waitMilliseconds: longWait}, now);
		}

		expect(share.share(urgent, 250)).to.equal(1);
		expect(share.share(lookup, 250)).to.be.lessThan(0.5);
	});
});
