import type {CallContext, RequestId} from '@fireflyglade/model';
import {expect} from 'chai';
import {CallTable} from './index.js';

function createContext(name: string, deadline: number, priority = 2): CallContext {
	return {
		requestId: name as RequestId, rootId: name as RequestId, priority, deadline, remainingAttempts: 1, depth: 0, traceparent: '',
	};
}

describe('CallTable', () => {
	it('finds the request that ends when a call does', () => {
		const calls = new CallTable();
		calls.add(createContext('a', 1000), false);
		const second = calls.add(createContext('b', 1020), false);
		calls.add(createContext('c', 1040), false);
		expect(calls.findByDeadline(1019)).to.equal(second);
		expect(calls.findByDeadline(1024)).to.equal(second);
	});

	it('finds none where a call ends long before every request, or after it', () => {
		const calls = new CallTable();
		calls.add(createContext('a', 1000), false);
		expect(calls.findByDeadline(900)).to.equal(undefined);
		expect(calls.findByDeadline(1100)).to.equal(undefined);
	});

	it('forgets a request that has ended, also one without a token', () => {
		const calls = new CallTable();
		calls.remove(calls.add(createContext('a', 1000), false));
		expect(calls.findByDeadline(1000)).to.equal(undefined);
		expect(calls.lowestRunningPriority()).to.equal(undefined);
	});

	it('tells the priority of the least important request, so that a call that can\'t be told displaces nothing', () => {
		const calls = new CallTable();
		calls.add(createContext('a', 1000, 0), false);
		expect(calls.lowestRunningPriority()).to.equal(0);
		const lookup = calls.add(createContext('b', 1000, 2), false);
		calls.add(createContext('c', 1000, 0), false);
		expect(calls.lowestRunningPriority()).to.equal(2);
		calls.remove(lookup);
		expect(calls.lowestRunningPriority()).to.equal(0);
	});

	it('makes no token where upstreams are never told it', () => {
		const calls = new CallTable();
		expect(calls.add(createContext('a', 1000), false).token).to.equal('');
		const told = calls.add(createContext('b', 1000));
		expect(calls.findParent(told.token, undefined)).to.equal(told);
	});
});
