import {expect} from 'chai';
import {hashText} from './index.js';

describe('hashText', () => {
	// Guards against: nodes of two versions compute different work classes for the same route.
	it('returns the published values of FNV-1a', () => {
		for (const [text, hash] of [['', 0x81_1C_9D_C5], ['a', 0xE4_0C_29_2C], ['foobar', 0xBF_9C_F9_68]] as const) {
			expect(hashText(text)).to.equal(hash);
		}
	});
});
