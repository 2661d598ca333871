import {expect} from 'chai';
import {InvalidInputError} from '../errors/index.js';
import {createRouteId, createTeamName} from './index.js';

describe('createTeamName', () => {
	it('accepts letters, digits and inner punctuation', () => {
		expect(createTeamName('fell-council_2.north')).to.equal('fell-council_2.north');
	});

	for (const value of ['', '-x', 'a b', 'a/b', 'x'.repeat(64), '__proto__']) {
		it(`rejects ${JSON.stringify(value)}`, () => {
			expect(() => createTeamName(value)).to.throw(InvalidInputError);
		});
	}
});

describe('createRouteId', () => {
	it('converts the method to upper case', () => {
		expect(createRouteId('post', '/orders')).to.equal('POST /orders');
	});
});
