import {expect} from 'chai';
import {productCallInterface, type CallInterface} from '../../call-interface/index.js';
import {classifyResponse} from './index.js';

const callInterface: CallInterface = {
	...productCallInterface, requestIdField: 'x-request', notRunField: 'x-not-run', expectedUpstreamField: 'x-expected',
};
const sentFields = ['accept', '*/*', 'x-request', 'r-1'];

describe('classifyResponse', () => {
	it('accepts a response that repeats the id of its request', () => {
		expect(classifyResponse({status: 200, headers: {'x-request': 'r-1'}}, sentFields, callInterface)).to.equal('own');
	});

	it('classifies a response with another request id or without an id as foreign', () => {
		expect(classifyResponse({status: 200, headers: {'x-request': 'r-2'}}, sentFields, callInterface)).to.equal('foreign');
		expect(classifyResponse({status: 200, headers: {}}, sentFields, callInterface)).to.equal('foreign');
	});

	it('classifies a request as not run only if the upstream states so', () => {
		expect(classifyResponse({status: 503, headers: {'x-request': 'r-1', 'x-not-run': '1'}}, sentFields, callInterface)).to.equal('not-run');
		expect(classifyResponse({status: 503, headers: {'x-request': 'r-1'}}, sentFields, callInterface)).to.equal('own');
		expect(classifyResponse({status: 421, headers: {'x-request': 'r-1'}}, sentFields, callInterface)).to.equal('not-run');
	});

	it('does not take a refusal without an id as one of this request', () => {
		expect(classifyResponse({status: 421, headers: {}}, sentFields, callInterface)).to.equal('foreign');
		expect(classifyResponse({status: 421, headers: {'x-not-run': '1'}}, sentFields, callInterface)).to.equal('foreign');
		expect(classifyResponse({status: 503, headers: {'x-not-run': '1'}}, sentFields, callInterface)).to.equal('foreign');
	});

	it('does not take a late refusal of another request as one of this request', () => {
		expect(classifyResponse({status: 421, headers: {'x-request': 'r-0'}}, sentFields, callInterface)).to.equal('foreign');
		expect(classifyResponse({status: 503, headers: {'x-request': 'r-0', 'x-not-run': '1'}}, sentFields, callInterface)).to.equal('foreign');
		expect(classifyResponse({status: 421, headers: {'x-request': 'r-1'}}, sentFields, callInterface)).to.equal('not-run');
	});

	it('accepts every response if the interface defines none of these fields', () => {
		expect(classifyResponse({status: 421, headers: {}}, sentFields, productCallInterface)).to.equal('own');
	});
});
