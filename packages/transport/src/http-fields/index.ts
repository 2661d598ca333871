/**
Selects the header fields that a process forwards.

Hop-by-hop fields, credentials and the fields that are reserved for the system
itself are not forwarded.
*/

import type {HeaderFields} from '../http-types/index.js';

/** Prefix of the header fields that the system sets. */
export const systemFieldPrefix = 'fireflyglade-';

/** Fields that apply to a single connection and are never forwarded. */
const hopByHopFields: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'transfer-encoding',
	'upgrade',
	'http2-settings',
]);

/** Fields that the system removes or sets itself on a forwarded request. */
const replacedRequestFields: ReadonlySet<string> = new Set([
	'authorization', 'content-length', 'expect', 'trailer', 'traceparent',
]);

/** Returns the names of the fields that a `Connection` field declares to be hop-by-hop. */
function parseConnectionField(value: string | undefined): readonly string[] {
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return [];
	}

	return value.toLowerCase().split(',').map(name => name.trim());
}

/**
Selects the fields of a request that are forwarded to the next process.

Takes and returns alternating names and values. Hop-by-hop fields, fields that
`Connection` names, credentials, fields that the system sets itself, all fields that
begin with `fireflyglade-`, those in `dropped`, and each field whose name or value
contains `secret` are removed.
*/
export function selectRequestFields(rawFields: readonly string[], options: SelectRequestFieldsOptions = {}): string[] {
	const {secret, connection, dropped} = options;
	const connectionNames = parseConnectionField(connection);
	const selected: string[] = [];
	for (let index = 0; index + 1 < rawFields.length; index += 2) {
		const name = rawFields[index]!.toLowerCase();
		const value = rawFields[index + 1]!;
		if (isRequestFieldForwarded(name, connectionNames) && dropped?.has(name) !== true && !containsSecret(name, value, secret)) {
			selected.push(name, value);
		}
	}

	return selected;
}

/** Options of `selectRequestFields`. */
export type SelectRequestFieldsOptions = {
	/** The caller's key; fields that contain it are removed. */
	readonly secret?: string;
	/** Value of the `Connection` field. */
	readonly connection?: string;
	/** Further fields to remove, in lower case. */
	readonly dropped?: ReadonlySet<string>;
};

function isRequestFieldForwarded(name: string, connectionNames: readonly string[]): boolean {
	return !hopByHopFields.has(name)
		&& !replacedRequestFields.has(name)
		&& !name.startsWith(systemFieldPrefix)
		&& !connectionNames.includes(name);
}

function containsSecret(name: string, value: string, secret: string | undefined): boolean {
	return secret !== undefined && (value.includes(secret) || name.includes(secret.toLowerCase()));
}

/**
Selects the fields of a response that are forwarded to the caller, as an object for
`writeHead`. Hop-by-hop fields and fields that are reserved for the system are removed,
and `Trailer` beside a length, as only a chunked body can have trailers.
*/
export function selectResponseFields(fields: HeaderFields): Record<string, string | string[]> {
	const {connection} = fields;
	const connectionNames = parseConnectionField(typeof connection === 'string' ? connection : connection?.join(','));
	const selected: Record<string, string | string[]> = {};
	const hasTrailer = fields['content-length'] === undefined;
	for (const name of Object.keys(fields)) {
		const value = fields[name];
		if (value !== undefined && !hopByHopFields.has(name) && !name.startsWith(systemFieldPrefix) && !connectionNames.includes(name)) {
			selected[name] = value as string | string[];
		}
	}

	if (!hasTrailer) {
		delete selected.trailer;
	}

	return selected;
}
