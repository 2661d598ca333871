import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {expect} from 'chai';
import {gatherSmallChunks} from './index.js';

describe('gatherSmallChunks', () => {
	// Guards against: each of many tiny chunks is buffered as an object, which exhausts the memory long before their bytes fill the buffer.
	it('joins tiny chunks, keeps the order, and reports a full buffer', async () => {
		const request = new IncomingMessage(new Socket());
		const {push} = request;
		let pushes = 0;
		request.push = function (chunk: unknown): boolean {
			pushes += 1;
			return push.call(request, chunk);
		};

		gatherSmallChunks(request);
		const chunks = [...Array.from({length: 40_000}, (_, index) => String(index % 10)), 'x'.repeat(1000), 'end'];
		const accepted = chunks.map(chunk => request.push(Buffer.from(chunk)));
		request.push(null);
		let text = '';
		for await (const part of request) {
			text += String(part);
		}

		expect(text).to.equal(chunks.join(''));
		expect(accepted.at(-1)).to.equal(true);
		expect(accepted).to.include(false);
		expect(pushes).to.be.below(20);
	});
});
