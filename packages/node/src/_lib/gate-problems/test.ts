import {expect} from 'chai';
import {ForeignResponseError} from '../classify-response/index.js';
import {failureProblem} from './index.js';

describe('failureProblem', () => {
	it('distinguishes a response to another request from a connection that broke', () => {
		const foreign = failureProblem(new ForeignResponseError('the upstream answered another request'));
		const broken = failureProblem(new Error('read ECONNRESET'));
		expect(foreign).to.deep.equal({code: 'upstream-failed', outcome: 'unknown', detail: 'the upstream answered another request'});
		expect(broken).to.deep.equal({code: 'upstream-failed', outcome: 'unknown', detail: 'the upstream broke off before it answered'});
	});
});
