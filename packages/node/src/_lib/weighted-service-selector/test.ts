import {expect} from 'chai';
import {
	createServiceName, SeededRandom, type Route, type RouteId, type ServiceShare,
} from '@fireflyglade/model';
import {WeightedServiceSelector} from './index.js';

const createRoute = (shares: readonly ServiceShare[]): Route => ({
	id: 'route' as RouteId, method: '*', path: '/', service: shares[0]!.service, shares, priority: 0, idempotent: true, open: false, retryLimit: 1, timeoutMilliseconds: 1000, whenCutOff: 'serve',
});
const oldService = createServiceName('old');
const newService = createServiceName('fresh');

describe('WeightedServiceSelector', () => {
	it('matches the weights closely after few requests', () => {
		const selector = new WeightedServiceSelector(new SeededRandom(1));
		const route = createRoute([{service: oldService, weight: 90}, {service: newService, weight: 10}]);
		let count = 0;
		for (let index = 0; index < 200; index++) {
			count += selector.select(route) === newService ? 1 : 0;
		}

		expect(count).to.be.within(18, 22);
	});

	it('matches the weights over many nodes with few requests each', () => {
		const route = createRoute([{service: oldService, weight: 70}, {service: newService, weight: 30}]);
		let count = 0;
		for (let node = 0; node < 100; node++) {
			const selector = new WeightedServiceSelector(new SeededRandom(node));
			for (let index = 0; index < 3; index++) {
				count += selector.select(route) === newService ? 1 : 0;
			}
		}

		expect(count).to.be.within(75, 105);
	});

	it('never selects a service of weight 0', () => {
		const selector = new WeightedServiceSelector(new SeededRandom(1));
		const route = createRoute([{service: oldService, weight: 0}, {service: newService, weight: 5}]);
		for (let index = 0; index < 100; index++) {
			expect(selector.select(route)).to.equal(newService);
		}
	});
});
