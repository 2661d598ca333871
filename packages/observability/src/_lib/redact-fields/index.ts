/**
Removes secrets from log records.
*/

/** A value of a log field. */
export type FieldValue = string | number | boolean | undefined;

/** Fields of a log record, by name. */
export type Fields = Readonly<Record<string, FieldValue>>;

const secretWords = new Set(['key', 'keys', 'authorization', 'token', 'secret', 'password', 'cookie', 'credential', 'credentials']);
const bearerPattern = /\bbearer\s+[^\s"]+/gi;
const redacted = '[redacted]';

/** Tells whether a field's name marks its value as secret. This is decided by the last word of the name: `apiKey` is secret, `keyId` is not. */
function isSecretName(name: string): boolean {
	const words = name.replaceAll(/([a-z\d])([A-Z])/g, '$1 $2').split(/[^a-z\d]+/i);
	return secretWords.has((words.at(-1) ?? '').toLowerCase());
}

/** Replaces bearer credentials in a text. */
export function redactText(text: string): string {
	return text.replaceAll(bearerPattern, `bearer ${redacted}`);
}

/** Replaces secret values in fields and omits fields without a value. */
export function redactFields(fields: Fields): Fields {
	const result: Record<string, FieldValue> = {};
	for (const [name, value] of Object.entries(fields)) {
		if (value === undefined) {
			continue;
		}

		if (isSecretName(name)) {
			result[name] = redacted;
			continue;
		}

		result[name] = typeof value === 'string' ? redactText(value) : value;
	}

	return result;
}
