import {expect} from 'chai';
import {SeededRandom} from './index.js';

describe('SeededRandom', () => {
	it('produces the same numbers for the same seed', () => {
		const first = new SeededRandom(7);
		const second = new SeededRandom(7);
		expect([first.nextInteger(100), first.nextFraction()]).to.deep.equal([second.nextInteger(100), second.nextFraction()]);
	});

	it('stays below the limit', () => {
		const random = new SeededRandom(1);
		for (let count = 0; count < 1000; count++) {
			expect(random.nextInteger(3)).to.be.within(0, 2);
			expect(random.nextFraction()).to.be.within(0, 0.999_999_999_9);
		}
	});
});
