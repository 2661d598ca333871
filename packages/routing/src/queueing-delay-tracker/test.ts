import {expect} from 'chai';
import {createServiceName} from '@fireflyglade/model';
import {QueueingDelayTracker} from './index.js';

const stock = createServiceName('stock');
const register = createServiceName('register');

describe('QueueingDelayTracker', () => {
	it('has no queueing delay before the first report', () => {
		expect(new QueueingDelayTracker().longest(0)).to.equal(undefined);
	});

	it('returns the service with the longest queueing delay', () => {
		const tracker = new QueueingDelayTracker();
		tracker.record({service: register, waitMilliseconds: 20}, 0);
		tracker.record({service: stock, waitMilliseconds: 60}, 0);
		expect(tracker.longest(10)).to.deep.equal({service: stock, waitMilliseconds: 60});
	});

	it('averages the reported delays, so that a single report has a limited effect', () => {
		const tracker = new QueueingDelayTracker();
		tracker.record({service: stock, waitMilliseconds: 0}, 0);
		tracker.record({service: stock, waitMilliseconds: 100}, 1);
		expect(tracker.longest(1)!.waitMilliseconds).to.be.within(1, 50);
		for (let now = 2; now < 40; now++) {
			tracker.record({service: stock, waitMilliseconds: 100}, now);
		}

		expect(tracker.longest(40)!.waitMilliseconds).to.be.within(99, 100);
	});

	it('ignores delays that were reported long ago', () => {
		const tracker = new QueueingDelayTracker();
		tracker.record({service: stock, waitMilliseconds: 60}, 0);
		expect(tracker.longest(5000)).to.equal(undefined);
		tracker.record({service: stock, waitMilliseconds: 5}, 5000);
		expect(tracker.longest(5000)!.waitMilliseconds).to.equal(5);
	});
});
