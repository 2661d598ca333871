import type {RequestId} from '@fireflyglade/model';
import {expect} from 'chai';
import {getRequestSpread} from './index.js';

describe('getRequestSpread', () => {
	// Guards against callers that come back together because their ids are alike.
	it('spreads ids that differ in their last characters only', () => {
		const tenths = Array.from({length: 10}, () => 0);
		for (let index = 0; index < 1000; index++) {
			tenths[Math.floor(getRequestSpread(`request-${index}` as RequestId) * 10)]!++;
		}

		expect(Math.min(...tenths)).to.be.above(60);
		expect(Math.max(...tenths)).to.be.below(140);
	});
});
