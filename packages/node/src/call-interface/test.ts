import {expect} from 'chai';
import type {Problem} from '@fireflyglade/model';
import {createProblemFields, productCallInterface} from './index.js';

const problem: Problem = {
	code: 'overloaded', outcome: 'not-run', detail: '', retryAfterMilliseconds: 130,
};

describe('problemFieldsOf', () => {
	it('tells the time for a retry in fractions where the interface has them', () => {
		expect(createProblemFields({...productCallInterface, isRetryAfterFractional: true}, problem)).to.deep.equal({'retry-after': '0.130'});
	});

	it('adds nothing where the interface has whole seconds, or waiting does not help', () => {
		expect(createProblemFields(productCallInterface, problem)).to.deep.equal({});
		const {retryAfterMilliseconds: _none, ...hopeless} = problem;
		expect(createProblemFields({...productCallInterface, isRetryAfterFractional: true}, hopeless)).to.deep.equal({});
	});
});
