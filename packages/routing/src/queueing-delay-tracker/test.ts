import {expect} from 'chai';
import {createServiceName} from '@fireflyglade/model';
import {QueueingDelayTracker} from './index.js';

const stock = createServiceName('stock');
const register = createServiceName('register');

describe('CrowdingBoard', () => {
	it('knows of no wait before one was told', () => {
		expect(new QueueingDelayTracker().longest(0)).to.equal(undefined);
	});

	it('names the service where calls wait longest', () => {
		const board = new QueueingDelayTracker();
		board.hear({service: register, waitMilliseconds: 20}, 0);
		board.hear({service: stock, waitMilliseconds: 60}, 0);
		expect(board.longest(10)).to.deep.equal({service: stock, waitMilliseconds: 60});
	});

	it('follows what is told, a single word only in part', () => {
		const board = new QueueingDelayTracker();
		board.hear({service: stock, waitMilliseconds: 0}, 0);
		board.hear({service: stock, waitMilliseconds: 100}, 1);
		expect(board.longest(1)!.waitMilliseconds).to.be.within(1, 50);
		for (let now = 2; now < 40; now++) {
			board.hear({service: stock, waitMilliseconds: 100}, now);
		}

		expect(board.longest(40)!.waitMilliseconds).to.be.within(99, 100);
	});

	it('forgets what was told long ago', () => {
		const board = new QueueingDelayTracker();
		board.hear({service: stock, waitMilliseconds: 60}, 0);
		expect(board.longest(5000)).to.equal(undefined);
		board.hear({service: stock, waitMilliseconds: 5}, 5000);
		expect(board.longest(5000)!.waitMilliseconds).to.equal(5);
	});
});
