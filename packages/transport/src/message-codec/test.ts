import {expect} from 'chai';
import {emptyConfiguration} from '@fireflyglade/model';
import {decodeMessage, encodeMessage} from './index.js';

describe('encodeMessage', () => {
	it('preserves maps and sets', () => {
		const message = {names: new Map([['a', {rate: 1}]]), drained: new Set(['x']), nothing: undefined};
		expect(decodeMessage(encodeMessage(message))).to.deep.equal(message);
	});

	it('preserves a configuration', () => {
		expect(decodeMessage(encodeMessage(emptyConfiguration))).to.deep.equal(emptyConfiguration);
	});

	it('preserves bytes', () => {
		const decoded = decodeMessage(encodeMessage({data: new Uint8Array([1, 2, 3])})) as {data: Uint8Array};
		expect([...decoded.data]).to.deep.equal([1, 2, 3]);
	});
});
