import {
	InvalidInputError, type RequestId, type ServiceName, type TeamName,
} from '@fireflyglade/model';
import {expect} from 'chai';
import fc from 'fast-check';
import type {PeerCall} from '../peer-fields/index.js';
import {
	FieldDecoder, FieldEncoder, decodeCall, decodeGateMetadata, encodeCall, encodeGateMetadata,
} from './index.js';

const call: PeerCall = {
	requestId: 'abc.1.1' as RequestId,
	rootId: 'abc.1' as RequestId,
	service: 'orders' as ServiceName,
	team: 'north' as TeamName,
	priority: 2,
	timeoutMilliseconds: 400,
	workClass: 7,
	remainingAttempts: 1,
	depth: 0,
	idempotent: true,
	job: undefined,
};

describe('Messages between nodes', () => {
	it('decodes every field that was encoded, with any repetition of names', () => {
		const names = fc.constantFrom('host', 'content-type', 'x-a', 'x-b');
		const lists = fc.array(fc.array(fc.tuple(names, fc.string()), {maxLength: 8}), {maxLength: 20});
		fc.assert(fc.property(lists, messages => {
			const encoder = new FieldEncoder();
			const decoder = new FieldDecoder();
			for (const message of messages) {
				const fields = message.flat();
				expect(decoder.decodeList(encoder.encodeList(fields))).to.deep.equal(fields);
			}
		}));
	});

	it('works with more names than a connection indexes', () => {
		const encoder = new FieldEncoder();
		const decoder = new FieldDecoder();
		for (let count = 0; count < 600; count++) {
			const fields = {[`x-${count}`]: 'a', [`x-${count % 300}`]: 'b'};
			expect(decoder.decodeFields(encoder.encodeFields(fields))).to.deep.equal(fields);
		}
	});

	it('rejects an index without a name', () => {
		expect(() => new FieldDecoder().decodeList([3, 'value'])).to.throw(InvalidInputError);
	});

	it('decodes an encoded call, including one whose root is another request', () => {
		expect(decodeCall(encodeCall(call))).to.deep.equal(call);
		const deeper = {
			...call, rootId: 'other.7' as RequestId, team: undefined, idempotent: false, objectiveMilliseconds: 250,
		};
		expect(decodeCall(encodeCall(deeper))).to.deep.equal(deeper);
	});

	it('rejects a malformed call', () => {
		for (const value of [undefined, 'call', [], ['abc', 0, 'orders', 0, -1, 1, 1, 0, 1, 0, 7], ['abc', 0, 'orders', 0, 1, 1, 1, 0, 1, 0], ['abc', 0, 'orders', 0, 1, 1, 1, 0, 1, 0, 7, -5], ['', 0, 'orders', 0, 1, 1, 1, 0, 1, 0, 7], ['abc', 0, 'orders', 0, 1, 1, 1, 0, 1, 0, 65_536], ['abc', 0, 0, 0, 1, 1, 1, 0, 1, 0, 7]]) {
			expect(() => decodeCall(value)).to.throw(InvalidInputError);
		}
	});

	it('decodes encoded metadata, with and without the gate\'s load, and rejects malformed metadata', () => {
		const metadata = {
			retriesLeft: 2,
			queuedMilliseconds: 31,
			hasArrived: true,
			crowding: {service: 'stock' as ServiceName, waitMilliseconds: 48},
			level: {
				inFlight: 1, limit: 4, queueLength: 2, shedPriority: 3,
			},
		};
		expect(decodeGateMetadata(encodeGateMetadata(metadata))).to.deep.equal(metadata);
		const withServiceTime = {...metadata, level: {...metadata.level, serviceMilliseconds: 84, pace: 2.5}};
		expect(decodeGateMetadata(encodeGateMetadata(withServiceTime))).to.deep.equal(withServiceTime);
		const refusing = {...metadata, refusedShare: {service: 'yard' as ServiceName, share: 0.55}};
		for (const stated of [refusing, {...refusing, hasArrived: false, level: undefined}, {...metadata, makesCalls: true}]) {
			expect(decodeGateMetadata(encodeGateMetadata(stated))).to.deep.equal(stated);
		}

		expect(decodeGateMetadata(encodeGateMetadata({retriesLeft: 0}))).to.deep.equal({
			retriesLeft: 0, queuedMilliseconds: 0, hasArrived: false, crowding: undefined, level: undefined,
		});
		for (const value of ['none', [], [1, 2, 0], [1, 2, 0, 7, 0], [1, 2, 0, '', 0], [1, 2, 0, 'stock', -1], [1, 2, 0, 0, 0, -1, 1, 1, 1], [1, 2, 2, 0, 0], [1, 2, 2, 0, 0, '', 5], [1, 2, 2, 0, 0, 'yard', -5], [1, 2, 0, 0, 0, 'yard', 5]]) {
			expect(() => decodeGateMetadata(value)).to.throw(InvalidInputError);
		}
	});
});
