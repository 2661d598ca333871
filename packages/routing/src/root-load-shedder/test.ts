import {expect} from 'chai';
import {createRouteId, createServiceName, SeededRandom} from '@fireflyglade/model';
import {RootLoadShedder, type RootRoute} from './index.js';

const signoff: RootRoute = {id: createRouteId('POST', '/signoff'), priority: 0};
const order: RootRoute = {id: createRouteId('POST', '/order'), priority: 0};
const schedule: RootRoute = {id: createRouteId('GET', '/schedule'), priority: 1};
const lookup: RootRoute = {id: createRouteId('GET', '/lookup'), priority: 2};

const stock = createServiceName('stock');
const register = createServiceName('register');
const longDelayMilliseconds = 250;

/** Latency of a request of each route, in milliseconds. */
const latencyMillisecondsByRoute = new Map([[signoff, 500], [order, 400], [schedule, 60], [lookup, 450]]);

describe('RootLoadShedder', () => {
	const random = new SeededRandom(3);

	/** Creates a load shedder that has seen one request of each route, all of which call the service `stock`. */
	function createShedder(...routes: readonly RootRoute[]): RootLoadShedder {
		const shedder = new RootLoadShedder();
		sendRequests(shedder, routes, 0);
		return shedder;
	}

	function sendRequests(shedder: RootLoadShedder, routes: readonly RootRoute[], now: number): void {
		for (const route of routes) {
			shedder.admits(route, now, random);
			shedder.recordLatency(route, latencyMillisecondsByRoute.get(route)!, now);
			shedder.recordRouteDelay(route, {service: stock, waitMilliseconds: longDelayMilliseconds}, now);
		}
	}

	/** Sends requests and reports a queueing delay every 10 ms; returns the time at the end. */
	function reportDelays(shedder: RootLoadShedder, routes: readonly RootRoute[], waitMilliseconds: number, milliseconds: number): number {
		for (let now = 0; now <= milliseconds; now += 10) {
			sendRequests(shedder, routes, now);
			shedder.recordDelay({service: stock, waitMilliseconds}, now);
		}

		return milliseconds;
	}

	it('admits all requests while the queueing delay stays within the tolerated one', () => {
		const shedder = createShedder(signoff, lookup);
		const end = reportDelays(shedder, [signoff, lookup], 35, 5000);
		expect(shedder.admitsAll(end)).to.equal(true);
		expect(shedder.share(lookup, end)).to.equal(1);
		expect(shedder.admits(lookup, end, random)).to.equal(true);
	});

	it('sheds the least important route that depends on the delayed service first', () => {
		const shedder = createShedder(signoff, schedule, lookup);
		const end = reportDelays(shedder, [signoff, schedule, lookup], 180, 250);
		expect(shedder.share(lookup, end)).to.be.lessThan(0.6);
		expect(shedder.share(schedule, end)).to.equal(1);
		expect(shedder.share(signoff, end)).to.equal(1);
		expect(shedder.admitsAll(end)).to.equal(false);
	});

	it('sheds more for a longer queueing delay', () => {
		const slightlyDelayed = createShedder(lookup);
		const heavilyDelayed = createShedder(lookup);
		reportDelays(slightlyDelayed, [lookup], 50, 250);
		reportDelays(heavilyDelayed, [lookup], longDelayMilliseconds, 250);
		expect(slightlyDelayed.share(lookup, 250)).to.be.within(0.9, 0.99);
		expect(heavilyDelayed.share(lookup, 250)).to.be.within(0.6, 0.7);
	});

	it('never sheds a route with a low occupancy, because that would free little capacity', () => {
		const shedder = createShedder(signoff, schedule, lookup);
		const end = reportDelays(shedder, [signoff, schedule, lookup], longDelayMilliseconds, 20_000);
		expect(shedder.share(schedule, end)).to.equal(1);
	});

	it('does not shed routes without any answer yet, because their occupancy is unknown', () => {
		const shedder = createShedder(lookup);
		const end = reportDelays(shedder, [lookup], longDelayMilliseconds, 250);
		const unserved: RootRoute = {id: createRouteId('GET', '/new'), priority: 1};
		const later = end + 3000;
		shedder.admits(unserved, later, random);
		shedder.recordRouteDelay(unserved, {service: stock, waitMilliseconds: longDelayMilliseconds}, later);
		shedder.admits(unserved, later + 250, random);
		expect(shedder.admitsAll(later + 250)).to.equal(false);
		expect(shedder.share(unserved, later + 250)).to.equal(1);
	});

	it('does not shed routes that don\'t depend on the delayed service', () => {
		const shedder = new RootLoadShedder();
		for (let now = 0; now <= 10_000; now += 10) {
			sendRequests(shedder, [signoff, lookup], now);
			shedder.admits(order, now, random);
			shedder.recordLatency(order, 110, now);
			shedder.recordRouteDelay(order, {service: register, waitMilliseconds: longDelayMilliseconds}, now);
			shedder.recordDelay({service: stock, waitMilliseconds: longDelayMilliseconds}, now);
		}

		expect(shedder.share(order, 10_000)).to.equal(1);
		expect(shedder.share(lookup, 10_000)).to.be.lessThan(0.5);
	});

	it('admits a minimum share of each route at any queueing delay, and a larger one of the most important', () => {
		const shedder = createShedder(signoff, lookup);
		const end = reportDelays(shedder, [signoff, lookup], longDelayMilliseconds, 60_000);
		expect(shedder.share(lookup, end)).to.be.within(0.25, 0.35);
		expect(shedder.share(signoff, end)).to.be.within(0.5, 0.7);
	});

	it('sheds the most important route only after the less important one is at its minimum share', () => {
		const shedder = createShedder(signoff, lookup);
		for (let now = 0; now <= 60_000; now += 10) {
			sendRequests(shedder, [signoff, lookup], now);
			shedder.recordDelay({service: stock, waitMilliseconds: longDelayMilliseconds}, now);
			expect(shedder.share(signoff, now) === 1 || shedder.share(lookup, now) < 0.26).to.equal(true);
		}
	});

	it('lowers the share only once per settling time', () => {
		const shedder = createShedder(lookup);
		reportDelays(shedder, [lookup], longDelayMilliseconds, 250);
		const loweredShare = shedder.share(lookup, 250);
		for (let now = 260; now < 700; now += 10) {
			sendRequests(shedder, [lookup], now);
			shedder.recordDelay({service: stock, waitMilliseconds: longDelayMilliseconds}, now);
		}

		expect(shedder.share(lookup, 700)).to.be.within(loweredShare, loweredShare + 0.05);
	});

	it('ignores a single long delay among many short ones', () => {
		const shedder = createShedder(lookup);
		for (let now = 0; now < 20_000; now += 10) {
			sendRequests(shedder, [lookup], now);
			shedder.recordDelay({service: stock, waitMilliseconds: now % 200 === 0 ? longDelayMilliseconds : 10}, now);
			expect(shedder.share(lookup, now)).to.equal(1);
		}
	});

	it('recovers within the 15 s that users allow for recovery, even if the node gets few requests', () => {
		const shedder = createShedder(signoff, lookup);
		const end = reportDelays(shedder, [signoff, lookup], longDelayMilliseconds, 10_000);
		expect(shedder.share(lookup, end)).to.be.lessThan(0.35);
		const recovered = end + shedder.recoveryMilliseconds(end);
		expect(shedder.admitsAll(recovered - 100)).to.equal(false);
		expect(shedder.admitsAll(recovered + 100)).to.equal(true);
		shedder.admits(lookup, end + 14_000, random);
		expect(shedder.share(lookup, end + 15_000)).to.equal(1);
		expect(shedder.admitsAll(end + 15_000)).to.equal(true);
	});

	it('distinguishes requests on the same route whose teams have different priorities', () => {
		const urgent: RootRoute = {...lookup, priority: 0};
		const shedder = new RootLoadShedder();
		for (let now = 0; now <= 250; now += 10) {
			for (const route of [urgent, lookup]) {
				shedder.admits(route, now, random);
				shedder.recordLatency(route, 450, now);
				shedder.recordRouteDelay(route, {service: stock, waitMilliseconds: longDelayMilliseconds}, now);
			}

			shedder.recordDelay({service: stock, waitMilliseconds: longDelayMilliseconds}, now);
		}

		expect(shedder.share(urgent, 250)).to.equal(1);
		expect(shedder.share(lookup, 250)).to.be.lessThan(0.5);
	});
});
