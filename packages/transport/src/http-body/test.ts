import {PassThrough, Readable} from 'node:stream';
import {expect} from 'chai';
import {catchError} from '../test-support/catch-error.js';
import {
	BodyBrokenError, BodySpentError, BodyTooLargeError, StreamedBody, type RequestBody,
} from './index.js';

const limits = {length: undefined, maximumReplayBytes: 8, maximumBytes: 100};

/** A source that delivers its chunks and then fails once; asked again, it has ended, as a broken request of the HTTP server. */
function createBrokenSource(chunks: readonly string[]): AsyncIterable<Uint8Array> {
	async function * deliver(): AsyncGenerator<Uint8Array> {
		for (const chunk of chunks) {
			yield Buffer.from(chunk);
		}

		throw new Error('aborted');
	}

	return deliver();
}

async function read(body: RequestBody): Promise<string> {
	let text = '';
	for await (const chunk of body.open() as Readable) {
		text += String(chunk);
	}

	return text;
}

describe('StreamedBody', () => {
	it('can be read again from its start while that is buffered', async () => {
		const body = new StreamedBody(Readable.from([Buffer.from('ab'), Buffer.from('cd')]), limits);
		expect(await read(body)).to.equal('abcd');
		expect(body.isComplete).to.equal(true);
		expect(await read(body)).to.equal('abcd');
	});

	// Guards against: the part of a body that came before its caller left is run as a whole one by another attempt.
	it('fails for each reader once its source has failed', async () => {
		const body = new StreamedBody(createBrokenSource(['ab', 'cd']), limits);
		expect(await catchError(read(body))).to.be.instanceOf(BodyBrokenError);
		expect(body.canReplay()).to.equal(false);
		expect(await catchError(read(body))).to.be.instanceOf(BodyBrokenError);
	});

	for (const [name, options] of [
		['a shorter source than its length', {...limits, length: 5}],
		['a source that says that it is not whole', {...limits, isWhole: () => false}],
	] as const) {
		it(`fails for ${name}`, async () => {
			const body = new StreamedBody(Readable.from([Buffer.from('abcd')]), options);
			expect(await catchError(read(body))).to.be.instanceOf(BodyBrokenError);
			expect(body.canReplay()).to.equal(false);
		});
	}

	it('fails for each reader once it is too large', async () => {
		const body = new StreamedBody(Readable.from([Buffer.alloc(60), Buffer.alloc(60)]), {...limits, maximumReplayBytes: 200});
		expect(await catchError(read(body))).to.be.instanceOf(BodyTooLargeError);
		expect(await catchError(read(body))).to.be.instanceOf(BodyTooLargeError);
	});

	it('keeps its start from a reader that has been ended', async () => {
		const source = new PassThrough();
		const body = new StreamedBody(source, limits);
		source.write('ab');
		const reader = (body.open() as Readable)[Symbol.asyncIterator]();
		await reader.next();
		const next = catchError(reader.next());
		body.endReaders();
		source.end(Buffer.alloc(20, 'x'));
		expect(await next).to.be.instanceOf(BodySpentError);
		expect(await read(body)).to.equal(`ab${'x'.repeat(20)}`);
	});
});
