import {expect} from 'chai';
import {productCallInterface, type CallInterface} from '../../call-interface/index.js';
import {classifyAnswer} from './index.js';

const callInterface: CallInterface = {
	...productCallInterface, echoField: 'x-request', notRunField: 'x-not-run', expectedUpstreamField: 'x-expected',
};
const sentFields = ['accept', '*/*', 'x-request', 'r-1'];

describe('classifyAnswer', () => {
	it('accepts an answer that repeats the id of its request', () => {
		expect(classifyAnswer({status: 200, headers: {'x-request': 'r-1'}}, sentFields, callInterface)).to.equal('own');
	});

	it('classifies an answer with another request id or without an id as foreign', () => {
		expect(classifyAnswer({status: 200, headers: {'x-request': 'r-2'}}, sentFields, callInterface)).to.equal('foreign');
		expect(classifyAnswer({status: 200, headers: {}}, sentFields, callInterface)).to.equal('foreign');
	});

	it('classifies a request as not run only if the upstream states so', () => {
		expect(classifyAnswer({status: 503, headers: {'x-request': 'r-1', 'x-not-run': '1'}}, sentFields, callInterface)).to.equal('not-run');
		expect(classifyAnswer({status: 503, headers: {'x-request': 'r-1'}}, sentFields, callInterface)).to.equal('own');
		expect(classifyAnswer({status: 421, headers: {}}, sentFields, callInterface)).to.equal('not-run');
	});

	it('does not take a late refusal of another request as one of this request', () => {
		expect(classifyAnswer({status: 421, headers: {'x-request': 'r-0'}}, sentFields, callInterface)).to.equal('foreign');
		expect(classifyAnswer({status: 503, headers: {'x-request': 'r-0', 'x-not-run': '1'}}, sentFields, callInterface)).to.equal('foreign');
		expect(classifyAnswer({status: 421, headers: {'x-request': 'r-1'}}, sentFields, callInterface)).to.equal('not-run');
	});

	it('accepts every answer if the interface defines none of these fields', () => {
		expect(classifyAnswer({status: 421, headers: {}}, sentFields, productCallInterface)).to.equal('own');
	});
});
