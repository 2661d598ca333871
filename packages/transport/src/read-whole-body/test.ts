import {PassThrough} from 'node:stream';
import {expect} from 'chai';
import {catchError} from '../test-support/catch-error.js';
import {BodyBrokenError, BodyTooLargeError} from '../http-body/index.js';
import {readWholeBody} from './index.js';

describe('readWholeBody', () => {
	let source: PassThrough;
	let heldBytes: number;

	beforeEach(() => {
		source = new PassThrough();
		heldBytes = 0;
	});

	const memory = {
		hold(bytes: number) {
			heldBytes += bytes;
			return true;
		},
		whenRelieved: () => () => undefined,
	};

	async function turn(): Promise<void> {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}

	// Guards against: each byte is kept as an object, which takes hundreds of times its length.
	it('joins bytes that come one by one, and counts the blocks that they occupy', async () => {
		const read = readWholeBody(source, {length: 40_000, memory});
		const text = Array.from({length: 40_000}, (_, index) => String(index % 10)).join('');
		for (const byte of text) {
			source.write(byte);
		}

		source.end();
		expect(Buffer.from(await read).toString()).to.equal(text);
		expect(heldBytes).to.be.within(40_000, 40_000 + 16_384);
	});

	it('reads no more while memory runs short', async () => {
		let resume: (() => void) | undefined;
		const read = readWholeBody(source, {
			length: 4,
			memory: {
				hold: () => false,
				whenRelieved(callback) {
					resume = callback;
					return () => undefined;
				},
			},
		});
		source.write('ab');
		await turn();
		expect(source.isPaused()).to.equal(true);
		source.end('cd');
		resume!();
		expect(Buffer.from(await read).toString()).to.equal('abcd');
	});

	it('does not read a body that is announced as too large, nor the rest of one that turns out to be', async () => {
		expect(await catchError(readWholeBody(source, {length: 11, maximumBytes: 10}))).to.be.instanceOf(BodyTooLargeError);
		const read = catchError(readWholeBody(source, {length: undefined, maximumBytes: 10}));
		source.write(Buffer.alloc(11));
		expect(await read).to.be.instanceOf(BodyTooLargeError);
		expect(source.isPaused()).to.equal(true);
	});

	it('fails for a body that ends before its length', async () => {
		const read = catchError(readWholeBody(source, {length: 5}));
		source.end('abcd');
		expect(await read).to.be.instanceOf(BodyBrokenError);
	});
});
