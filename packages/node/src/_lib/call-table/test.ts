import type {CallContext, RequestId} from '@fireflyglade/model';
import {expect} from 'chai';
import {CallTable} from './index.js';

function createContext(name: string, deadline: number, priority = 2): CallContext {
	return {
		requestId: name as RequestId, rootId: name as RequestId, priority, deadline, workClass: 0, remainingAttempts: 1, depth: 0, traceparent: '',
	};
}

describe('CallTable', () => {
	it('finds the request whose deadline is nearest to that of a call', () => {
		const calls = new CallTable();
		calls.add(createContext('a', 1000), false);
		const second = calls.add(createContext('b', 1020), false);
		calls.add(createContext('c', 1040), false);
		expect(calls.findByDeadline(1019)).to.equal(second);
		expect(calls.findByDeadline(1024)).to.equal(second);
	});

	it('finds no request if the call\'s deadline is far from that of every request', () => {
		const calls = new CallTable();
		calls.add(createContext('a', 1000), false);
		expect(calls.findByDeadline(900)).to.equal(undefined);
		expect(calls.findByDeadline(1100)).to.equal(undefined);
	});

	it('does not find a removed request, even one without a token', () => {
		const calls = new CallTable();
		calls.remove(calls.add(createContext('a', 1000), false));
		expect(calls.findByDeadline(1000)).to.equal(undefined);
		expect(calls.lowestRunningPriority()).to.equal(undefined);
	});

	it('returns the priority of the least important running request, for calls that match no request', () => {
		const calls = new CallTable();
		calls.add(createContext('a', 1000, 0), false);
		expect(calls.lowestRunningPriority()).to.equal(0);
		const lookup = calls.add(createContext('b', 1000, 2), false);
		calls.add(createContext('c', 1000, 0), false);
		expect(calls.lowestRunningPriority()).to.equal(2);
		calls.remove(lookup);
		expect(calls.lowestRunningPriority()).to.equal(0);
	});

	it('never counts a call of a repeated run as a first request, even if its deadline matches other requests as well', () => {
		const calls = new CallTable();
		calls.add(createContext('a.1', 1000), false);
		calls.add(createContext('b.1', 2000), false);
		const repeat = calls.add(createContext('c.2', 1003), false);
		expect(calls.estimateRepeatProbability(1001)).to.equal(1);
		expect(calls.estimateRepeatProbability(2000)).to.equal(0);
		expect(calls.estimateRepeatProbability(3000)).to.be.closeTo(1 / 3, 1e-9);
		expect(calls.estimateRepeatProbability(undefined)).to.be.closeTo(1 / 3, 1e-9);
		calls.remove(repeat);
		expect(calls.estimateRepeatProbability(undefined)).to.equal(0);
	});

	it('creates no token if upstreams receive none', () => {
		const calls = new CallTable();
		expect(calls.add(createContext('a', 1000), false).token).to.equal('');
		const added = calls.add(createContext('b', 1000));
		expect(calls.findParent(added.token, undefined)).to.equal(added);
	});
});
