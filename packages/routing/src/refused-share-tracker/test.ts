import {createServiceName} from '@fireflyglade/model';
import {expect} from 'chai';
import {RefusedShareTracker} from './index.js';

const stock = createServiceName('stock');
const register = createServiceName('register');

describe('RefusedShareTracker', () => {
	it('measures the share of refused calls, and forgets it within a second or two after the refusals end', () => {
		const tracker = new RefusedShareTracker();
		for (let now = 0; now < 2000; now += 10) {
			tracker.recordCall(stock, now % 20 === 0, now);
		}

		expect(tracker.highest(2000)).to.have.property('service', stock);
		expect(tracker.highest(2000)!.share).to.be.closeTo(0.5, 0.05);
		for (let now = 2000; now < 4000; now += 10) {
			tracker.recordCall(stock, false, now);
		}

		expect(tracker.highest(4000)).to.equal(undefined);
	});

	it('reports nothing for a single refusal or for reports that are old', () => {
		const tracker = new RefusedShareTracker();
		expect(tracker.hasCalls).to.equal(false);
		tracker.recordCall(stock, true, 0);
		expect(tracker.highest(0)).to.equal(undefined);
		tracker.recordReport({service: stock, share: 0.5}, 0);
		tracker.recordReport({service: register, share: 0.2}, 0);
		expect(tracker.highest(0)).to.deep.equal({service: stock, share: 0.5});
		expect(tracker.highest(1001)).to.equal(undefined);
	});

	// Guards against the deepest service counting as one that makes calls, because a few open requests enter at its nodes: its refused calls would then get little of the retry budget.
	it('tells an upstream that makes calls from one at whose node a few open requests enter', () => {
		const deepest = new RefusedShareTracker();
		const caller = new RefusedShareTracker();
		for (let now = 0; now < 20_000; now += 10) {
			deepest.recordRun(now);
			caller.recordRun(now);
			caller.recordCall(stock, now % 20 === 0, now);
			if (now % 1000 === 0) {
				deepest.recordCall(register, false, now);
			}
		}

		expect([deepest.hasCalls, caller.hasCalls]).to.deep.equal([false, true]);
	});

	it('still counts an upstream as one that makes calls while its runs fail at their first call', () => {
		const tracker = new RefusedShareTracker();
		for (let now = 0; now < 8000; now += 10) {
			tracker.recordRun(now);
			tracker.recordCall(stock, true, now);
		}

		expect(tracker.hasCalls).to.equal(true);
	});
});
