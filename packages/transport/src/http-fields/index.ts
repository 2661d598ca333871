/**
Rules for the header fields that a process passes on.

Fields that concern one connection end here, and so do the credentials and the
fields that only the system itself may set.
*/

import type {HeaderFields} from '../http-types/index.js';

/** Prefix of the header fields that the system sets. */
export const systemFieldPrefix = 'fireflyglade-';

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

const replacedRequestFields: ReadonlySet<string> = new Set([
	'authorization', 'content-length', 'expect', 'trailer', 'traceparent',
]);

function parseConnectionField(value: string | undefined): readonly string[] {
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return [];
	}

	return value.toLowerCase().split(',').map(name => name.trim());
}

/**
Selects the fields of a request that pass on to the next process.

Takes and returns names and values in turn. Left out are the fields of the
connection, those that `Connection` names, the credentials, everything that
begins with `fireflyglade-`, and each field whose value holds `secret`.
*/
export function selectRequestFields(rawFields: readonly string[], options: SelectRequestFieldsOptions = {}): string[] {
	const {secret, connection, dropped} = options;
	const named = parseConnectionField(connection);
	const selected: string[] = [];
	for (let index = 0; index + 1 < rawFields.length; index += 2) {
		const name = rawFields[index]!.toLowerCase();
		const value = rawFields[index + 1]!;
		if (isRequestFieldForwarded(name, named) && dropped?.has(name) !== true && !containsSecret(name, value, secret)) {
			selected.push(name, value);
		}
	}

	return selected;
}

/** Options of `selectRequestFields`. */
export type SelectRequestFieldsOptions = {
	/** The caller's key; no field that holds it passes on. */
	readonly secret?: string;
	/** Value of the field `Connection`. */
	readonly connection?: string;
	/** Further fields that don't pass on, in lower case. */
	readonly dropped?: ReadonlySet<string>;
};

function isRequestFieldForwarded(name: string, named: readonly string[]): boolean {
	return !hopByHopFields.has(name)
		&& !replacedRequestFields.has(name)
		&& !name.startsWith(systemFieldPrefix)
		&& !named.includes(name);
}

function containsSecret(name: string, value: string, secret: string | undefined): boolean {
	return secret !== undefined && (value.includes(secret) || name.includes(secret.toLowerCase()));
}

/**
Selects the fields of an answer that pass on to the caller, as an object for
`writeHead`: no fields of the connection and none that only the system may set.
*/
export function selectAnswerFields(fields: HeaderFields): Record<string, string | string[]> {
	const {connection} = fields;
	const named = parseConnectionField(typeof connection === 'string' ? connection : connection?.join(','));
	const selected: Record<string, string | string[]> = {};
	for (const name of Object.keys(fields)) {
		const value = fields[name];
		if (value !== undefined && !hopByHopFields.has(name) && !name.startsWith(systemFieldPrefix) && !named.includes(name)) {
			selected[name] = value as string | string[];
		}
	}

	return selected;
}
