import {SeededRandom} from '@fireflyglade/model';
import {expect} from 'chai';
import fc from 'fast-check';
import {backoffDelay} from './index.js';

describe('backoffDelay', () => {
	it('stays between the delay that the refusing gate asked for and the upper bound for the attempt', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 40}), fc.nat(), fc.integer({min: 0, max: 5000}), (attempt, seed, retryAfterMilliseconds) => {
			const delay = backoffDelay(attempt, new SeededRandom(seed), {baseMilliseconds: 20, maximumMilliseconds: 500, retryAfterMilliseconds});
			expect(delay).to.be.at.least(retryAfterMilliseconds);
			expect(delay).to.be.below(retryAfterMilliseconds + Math.min(500, 20 * (2 ** (attempt - 1))));
		}), {seed: 42});
	});
});
