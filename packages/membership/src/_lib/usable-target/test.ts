import {expect} from 'chai';
import fc from 'fast-check';
import {isUsableTarget} from './index.js';

const target = {
	upstream: 'orders@n-1', service: 'orders', node: 'n-1', domain: 'north', gateUrl: 'http://10.0.0.1:8543', channelAddress: '10.0.0.1:7003', rpcAddress: '10.0.0.1:7001', available: true, slots: 8,
};

describe('isUsableTarget', () => {
	it('accepts a target, with and without an address for shared connections', () => {
		expect(isUsableTarget(target)).to.equal(true);
		expect(isUsableTarget({...target, channelAddress: undefined})).to.equal(true);
	});

	// Guards against: an odd entry among those of the targets ends the nodes that read it, or is used by them.
	for (const change of [
		{channelAddress: '10.0.0.1:70000'}, {channelAddress: '10.0.0.1:-1'}, {channelAddress: '10.0.0.1:80.5'}, {rpcAddress: '[::1'}, {gateUrl: 'http://10.0.0.1:70000'}, {slots: 9_007_199_254_740_991}, {slots: 0}, {node: 7},
	]) {
		it(`rejects ${JSON.stringify(change)}`, () => {
			expect(isUsableTarget({...target, ...change})).to.equal(false);
		});
	}

	it('throws for no value of any field', () => {
		fc.assert(fc.property(fc.constantFrom(...Object.keys(target)), fc.anything(), (field, value) => {
			expect(isUsableTarget({...target, [field]: value})).to.be.a('boolean');
		}), {seed: 3201, numRuns: 500});
	});
});
