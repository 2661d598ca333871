/**
Keeps secrets out of what is written about a request.
*/

/** A value of a log field. */
export type FieldValue = string | number | boolean | undefined;

/** Fields of a log record, by name. */
export type Fields = Readonly<Record<string, FieldValue>>;

const secretWords = new Set(['key', 'keys', 'authorization', 'token', 'secret', 'password', 'cookie', 'credential', 'credentials']);
const bearerPattern = /\bbearer\s+[^\s"]+/gi;
const redacted = '[redacted]';

/** Tells whether a field's name says that its value is a secret: its last word is one, as in `apiKey`, but not in `keyId`. */
function isSecretName(name: string): boolean {
	const words = name.replaceAll(/([a-z\d])([A-Z])/g, '$1 $2').split(/[^a-z\d]+/i);
	return secretWords.has((words.at(-1) ?? '').toLowerCase());
}

/** Takes bearer credentials out of a text. */
export function redactText(text: string): string {
	return text.replaceAll(bearerPattern, `bearer ${redacted}`);
}

/** Takes secrets out of fields; those without a value are left out. */
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
