/**
Parses the text of a settings file and validates it against a schema.
*/

import {
	parse, printParseErrorCode, type ParseError,
} from 'jsonc-parser';
import type {z} from 'zod';
import {SettingsError, type SettingsFault} from '../settings-error/index.js';

const maximumFoundCharacters = 80;

function describePosition(text: string, offset: number): string {
	const before = text.slice(0, offset).split('\n');
	return `line ${before.length}, column ${(before.at(-1)?.length ?? 0) + 1}`;
}

function describeFound(value: unknown): string {
	return value === undefined ? 'nothing' : JSON.stringify(value).slice(0, maximumFoundCharacters);
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
	let value = root;
	for (const key of path) {
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		value = (value as Record<PropertyKey, unknown>)[key];
	}

	return value;
}

function formatPath(path: readonly PropertyKey[]): string {
	return path.length === 0 ? '(the whole file)' : path.map(String).join('.');
}

function describeAllowed(issue: z.core.$ZodIssue): string {
	if (issue.code === 'invalid_type') {
		return issue.expected;
	}

	if (issue.code === 'invalid_value') {
		return issue.values.map(value => JSON.stringify(value)).join(' or ');
	}

	return issue.code === 'invalid_union' ? 'one of the documented kinds' : issue.message;
}

function toFaults(issue: z.core.$ZodIssue, root: unknown): readonly SettingsFault[] {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({
			path: formatPath([...issue.path, key]),
			found: 'an unknown field',
			allowed: 'the documented fields alone',
		}));
	}

	return [{path: formatPath(issue.path), found: describeFound(valueAt(root, issue.path)), allowed: describeAllowed(issue)}];
}

/**
Parses and validates the text of a settings file.

@param file - Name of the file, for error messages.
@param text - JSON with comments.
@param schema - Schema of the settings.
@returns The validated settings, with defaults for absent fields.
@throws {SettingsError} The text is not valid; the error lists all faults.
*/
export function parseSettings<Settings>(file: string, text: string, schema: z.ZodType<Settings>): Settings {
	const parseErrors: ParseError[] = [];
	const root = parse(text, parseErrors, {allowTrailingComma: true}) as unknown;
	if (parseErrors.length > 0) {
		throw new SettingsError(file, parseErrors.map(error => ({
			path: describePosition(text, error.offset),
			found: printParseErrorCode(error.error),
			allowed: 'JSON with comments',
		})));
	}

	const result = schema.safeParse(root);
	if (!result.success) {
		throw new SettingsError(file, result.error.issues.flatMap(issue => toFaults(issue, root)));
	}

	return result.data;
}
