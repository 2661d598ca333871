import {expect} from 'chai';
import {getProblemStatus, httpStatusByProblemCode, type ProblemCode} from './index.js';

const codes = Object.keys(httpStatusByProblemCode) as ProblemCode[];

describe('getProblemStatus', () => {
	it('never promises that a request did not run while its outcome is unknown', () => {
		for (const code of codes) {
			expect(getProblemStatus({code, outcome: 'unknown'}), code).not.to.be.oneOf([408, 429, 503]);
		}
	});

	it('leaves no caller in doubt about a request that certainly did not run', () => {
		for (const code of codes) {
			expect(getProblemStatus({code, outcome: 'not-run'}), code).not.to.be.oneOf([502, 504]);
		}

		expect(getProblemStatus({code: 'deadline-exceeded', outcome: 'not-run'})).to.equal(503);
		expect(getProblemStatus({code: 'deadline-exceeded', outcome: 'unknown'})).to.equal(504);
	});
});
