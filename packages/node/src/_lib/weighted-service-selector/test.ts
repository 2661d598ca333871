import {expect} from 'chai';
import {
	createServiceName, SeededRandom, type Route, type RouteId, type ServiceShare,
} from '@fireflyglade/model';
import {WeightedServiceSelector} from './index.js';

const createRoute = (shares: readonly ServiceShare[]): Route => ({
	id: 'route' as RouteId, method: '*', path: '/', service: shares[0]!.service, shares, priority: 0, idempotent: true, open: false, retryLimit: 1, timeoutMilliseconds: 1000, whenCutOff: 'serve',
});
const old = createServiceName('old');
const fresh = createServiceName('fresh');

describe('ShareSequence', () => {
	it('meets the weights closely after few requests', () => {
		const sequence = new WeightedServiceSelector(new SeededRandom(1));
		const route = createRoute([{service: old, weight: 90}, {service: fresh, weight: 10}]);
		let count = 0;
		for (let index = 0; index < 200; index++) {
			count += sequence.select(route) === fresh ? 1 : 0;
		}

		expect(count).to.be.within(18, 22);
	});

	it('meets the weights over many nodes with few requests each', () => {
		const route = createRoute([{service: old, weight: 70}, {service: fresh, weight: 30}]);
		let count = 0;
		for (let node = 0; node < 100; node++) {
			const sequence = new WeightedServiceSelector(new SeededRandom(node));
			for (let index = 0; index < 3; index++) {
				count += sequence.select(route) === fresh ? 1 : 0;
			}
		}

		expect(count).to.be.within(75, 105);
	});

	it('sends nothing to a service of weight 0', () => {
		const sequence = new WeightedServiceSelector(new SeededRandom(1));
		const route = createRoute([{service: old, weight: 0}, {service: fresh, weight: 5}]);
		for (let index = 0; index < 100; index++) {
			expect(sequence.select(route)).to.equal(fresh);
		}
	});
});
