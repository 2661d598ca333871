import {expect} from 'chai';
import {productCallInterface, type CallInterface} from '../../call-interface/index.js';
import {classifyAnswer} from './index.js';

const named: CallInterface = {
	...productCallInterface, requestIdField: 'x-request', notRunField: 'x-not-run', expectedUpstreamField: 'x-expected',
};
const sent = ['accept', '*/*', 'x-request', 'r-1'];

describe('judgeAnswer', () => {
	it('takes an answer that repeats the id of its request', () => {
		expect(classifyAnswer({status: 200, headers: {'x-request': 'r-1'}}, sent, named)).to.equal('own');
	});

	it('rejects an answer to another request or without an id', () => {
		expect(classifyAnswer({status: 200, headers: {'x-request': 'r-2'}}, sent, named)).to.equal('foreign');
		expect(classifyAnswer({status: 200, headers: {}}, sent, named)).to.equal('foreign');
	});

	it('believes that the request did not run only where the upstream says so', () => {
		expect(classifyAnswer({status: 503, headers: {'x-request': 'r-1', 'x-not-run': '1'}}, sent, named)).to.equal('not-run');
		expect(classifyAnswer({status: 503, headers: {'x-request': 'r-1'}}, sent, named)).to.equal('own');
		expect(classifyAnswer({status: 421, headers: {}}, sent, named)).to.equal('not-run');
	});

	it('does not take a late answer to another request for word that this one did not run', () => {
		expect(classifyAnswer({status: 421, headers: {'x-request': 'r-0'}}, sent, named)).to.equal('foreign');
		expect(classifyAnswer({status: 503, headers: {'x-request': 'r-0', 'x-not-run': '1'}}, sent, named)).to.equal('foreign');
		expect(classifyAnswer({status: 421, headers: {'x-request': 'r-1'}}, sent, named)).to.equal('not-run');
	});

	it('takes every answer where the interface names no such fields', () => {
		expect(classifyAnswer({status: 421, headers: {}}, sent, productCallInterface)).to.equal('own');
	});
});
