import {expect} from 'chai';
import fc from 'fast-check';
import {getObjectiveProbability, scoreCandidate, type Candidate} from './index.js';

const usual: Candidate = {
	serviceMilliseconds: 100, meanMilliseconds: 100, load: 0.5, successShare: 1, crossDomainMilliseconds: 0,
};

describe('scoreCandidate', () => {
	it('never prefers a target only because it has more requests, fails more or is further away', () => {
		const fraction = fc.double({min: 0, max: 1, noNaN: true});
		fc.assert(fc.property(fc.integer({min: 1, max: 5000}), fraction, fraction, fraction, (remaining, load, losses, way) => {
			const score = scoreCandidate(usual, remaining);
			for (const worse of [{load: usual.load + load}, {successShare: 1 - losses}, {crossDomainMilliseconds: way}]) {
				expect(scoreCandidate({...usual, ...worse}, remaining)).to.be.at.most(score);
			}
		}), {seed: 47});
	});

	it('expects no answer within an objective that the wait or the way exceeds', () => {
		expect(getObjectiveProbability({...usual, load: 3}, 150)).to.equal(0);
		expect(getObjectiveProbability({...usual, crossDomainMilliseconds: 160}, 150)).to.equal(0);
		expect(getObjectiveProbability(usual, 0)).to.equal(0);
	});

	it('takes a slower target that still meets the objective, and the fast one otherwise', () => {
		const [fast, slow] = [{...usual, serviceMilliseconds: 60}, {...usual, serviceMilliseconds: 150}];
		expect(scoreCandidate(slow, 2000)).to.be.above(scoreCandidate(fast, 2000));
		expect(scoreCandidate(fast, 250)).to.be.above(scoreCandidate(slow, 250));
	});
});
