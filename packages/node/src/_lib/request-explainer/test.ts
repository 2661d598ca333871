import {createServiceName, SeededRandom, type Clock} from '@fireflyglade/model';
import {EntryThrottle, RootLoadShedder} from '@fireflyglade/routing';
import {expect} from 'chai';
import {createConfiguration, createRoute, SharedFleet} from '../../test-support/index.js';
import {RequestExplainer, type RequestExplanation, type RequestExplainerOptions} from './index.js';

const route = createRoute('GET', '/orders', {timeoutMilliseconds: 900});
const hosted = createRoute('GET', '/shop/', {prefix: {host: 'shop.example', path: '/shop/'}, open: true});
const service = createServiceName('orders');
const priority = 55;
const defaultQuery = {method: 'GET', path: '/orders', host: 'localhost'};

function explain(change: Partial<RequestExplainerOptions> = {}, fleetChange: Partial<SharedFleet> = {}, query = defaultQuery): RequestExplanation {
	const shared = Object.assign(new SharedFleet(createConfiguration([route, hosted])), fleetChange);
	const clock: Pick<Clock, 'now'> = {now: () => 1000};
	return new RequestExplainer({
		node: 'a' as never, fleet: shared.createNodeView('a'), routing: {explain: () => []}, clock, isDraining: () => false,
		limits: {
			maximumHeaderBytes: 16_384, maximumBodyBytes: 1_000_000, maximumPathBytes: 2048, maximumConnections: 1000,
		},
		...change,
	}).explain(query);
}

function getProblemCode(explanation: RequestExplanation): string | undefined {
	return explanation.kind === 'route' ? undefined : explanation.problem.code;
}

describe('RequestExplainer', () => {
	it('says that the node would refuse any request while it drains, has no configuration or no fresh keys', () => {
		expect(getProblemCode(explain())).to.equal(undefined);
		expect(getProblemCode(explain({isDraining: () => true}))).to.equal('draining');
		expect(getProblemCode(explain({}, {hasConfiguration: false}))).to.equal('no-configuration');
		expect(getProblemCode(explain({}, {areKeysFresh: false}))).to.equal('cut-off');
	});

	it('tells that the entry throttle would refuse the request, without counting it', () => {
		const throttle = new EntryThrottle();
		for (let count = 0; count < 20; count++) {
			throttle.recordRefused({service, priority}, 1000);
		}

		expect(explain({throttle})).to.have.nested.property('services[0].isThrottled', true);
		expect(explain({throttle: new EntryThrottle()})).to.have.nested.property('services[0].isThrottled', false);
	});

	it('tells the share that the root load shedder admits', () => {
		const rootLoadShedder = new RootLoadShedder();
		const root = {id: route.id, priority};
		const random = new SeededRandom(1);
		for (let now = 0; now <= 1000; now += 10) {
			rootLoadShedder.admits(root, now, random);
			rootLoadShedder.recordLatency(root, 100, now);
			rootLoadShedder.recordRouteDelay(root, {service, waitMilliseconds: 200}, now);
			rootLoadShedder.recordDelay({service, waitMilliseconds: 200}, now);
		}

		const share = rootLoadShedder.share(root, 1000);
		expect(share).to.be.lessThan(1);
		expect(explain({rootLoadShedder})).to.include({kind: 'route', priority, admittedShare: share});
	});

	it('finds a route by host and prefix', () => {
		const query = {method: 'GET', path: '/shop/cart', host: 'Shop.example:80'};
		expect(explain({}, {}, query)).to.include({kind: 'route', route: hosted.id});
		expect(getProblemCode(explain({}, {}, {...query, host: 'localhost'}))).to.equal('route-not-found');
	});
});
