import {expect} from 'chai';
import type {Problem} from '@fireflyglade/model';
import {createProblemFields, productCallInterface} from './index.js';

const problem: Problem = {
	code: 'overloaded', outcome: 'not-run', detail: '', retryAfterMilliseconds: 130,
};

describe('createProblemFields', () => {
	it('gives the retry delay in fractions of a second if the interface uses them', () => {
		expect(createProblemFields({...productCallInterface, isRetryAfterFractional: true}, problem)).to.deep.equal({'retry-after': '0.130'});
	});

	it('adds no field if the interface uses whole seconds or the problem has no retry delay', () => {
		expect(createProblemFields(productCallInterface, problem)).to.deep.equal({});
		const {retryAfterMilliseconds: _none, ...problemWithoutDelay} = problem;
		expect(createProblemFields({...productCallInterface, isRetryAfterFractional: true}, problemWithoutDelay)).to.deep.equal({});
	});
});
