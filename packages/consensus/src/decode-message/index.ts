/**
Decodes messages between members.
*/

import type {MemberId} from '@fireflyglade/model';
import {decodeObject} from '../_lib/codec.js';
import type {ConsensusPayload} from '../_lib/payload.js';
import {ConsensusFormatError} from '../errors/index.js';
import type {ConsensusMessage} from '../types.js';

type FieldKind = 'number' | 'boolean' | 'bytes' | 'list' | 'object' | 'string';

const voteFields: Readonly<Record<string, FieldKind>> = {term: 'number', lastIndex: 'number', lastTerm: 'number'};

const payloadFields: Readonly<Record<ConsensusPayload['kind'], Readonly<Record<string, FieldKind>>>> = {
	'pre-vote-request': voteFields,
	'pre-vote-response': {
		term: 'number', wantedTerm: 'number', granted: 'boolean', disk: 'string',
	},
	'vote-request': {...voteFields, isTransfer: 'boolean'},
	'vote-response': {term: 'number', granted: 'boolean', disk: 'string'},
	append: {
		term: 'number', previousIndex: 'number', previousTerm: 'number', entries: 'list', commitIndex: 'number', round: 'number', quorumAgeMilliseconds: 'number',
	},
	'append-response': {
		term: 'number', accepted: 'boolean', index: 'number', hintIndex: 'number', hintTerm: 'number', round: 'number', disk: 'string',
	},
	'snapshot-chunk': {
		term: 'number', lastIndex: 'number', lastTerm: 'number', members: 'object', offset: 'number', data: 'bytes', isLast: 'boolean', round: 'number', quorumAgeMilliseconds: 'number',
	},
	'snapshot-response': {
		term: 'number', lastIndex: 'number', nextOffset: 'number', round: 'number',
	},
	'read-request': {term: 'number', token: 'number'},
	'read-response': {term: 'number', token: 'number', index: 'number'},
	'start-election': {term: 'number'},
};

/**
Decodes a message.

@throws {ConsensusFormatError} The bytes are not a message of a known kind and format version.
*/
export function decodeMessage(bytes: Uint8Array): ConsensusMessage {
	const {from, to, payload} = decodeObject(bytes, 'payload');
	if (typeof from !== 'string' || typeof to !== 'string' || !isObject(payload)) {
		throw new ConsensusFormatError('the message has no sender, receiver or payload');
	}

	const {kind} = payload;
	const fields = typeof kind === 'string' && Object.hasOwn(payloadFields, kind) ? payloadFields[kind as ConsensusPayload['kind']] : undefined;
	if (fields === undefined) {
		throw new ConsensusFormatError(`unknown message kind ${JSON.stringify(kind)}`);
	}

	for (const [field, fieldKind] of Object.entries(fields)) {
		if (!isOfKind(payload[field], fieldKind)) {
			throw new ConsensusFormatError(`field ${field} of message kind ${String(kind)} is not of type ${fieldKind}`);
		}
	}

	return {from: from as MemberId, to: to as MemberId, payload};
}

function isObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}

function isOfKind(value: unknown, kind: FieldKind): boolean {
	if (kind === 'bytes') {
		return value instanceof Uint8Array;
	}

	return kind === 'list' ? Array.isArray(value) : typeof value === kind && value !== null;
}
