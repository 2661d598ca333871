import {expect} from 'chai';
import {fitLine, fitSlope, valueAt} from './index.js';

describe('fitLine', () => {
	it('returns the line through collinear points with a fit of 1', () => {
		const line = fitLine([{size: 1, value: 5}, {size: 2, value: 7}, {size: 4, value: 11}]);
		expect([line.intercept, line.slope, line.fit]).deep.equal([3, 2, 1]);
		expect(valueAt(line, 10)).equal(23);
	});

	it('returns a fit of 0 for points without a linear relation', () => {
		expect(fitLine([{size: 1, value: 0}, {size: 2, value: 9}, {size: 3, value: 0}]).fit).equal(0);
	});
});

describe('fitSlope', () => {
	it('returns the slope of a line through the origin', () => {
		expect(fitSlope([{size: 1, value: 3}, {size: 5, value: 15}])).equal(3);
	});
});
