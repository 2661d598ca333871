/**
Converts tokens to values. Functions that check the value throw a
`StatementSyntaxError` with the position of the token if it is not allowed.
*/

import type {IToken} from 'chevrotain';
import {millisecondsInSecond} from '@fireflyglade/model';
import {StatementSyntaxError} from '../../statement-syntax-error/index.js';

const allowedMethods = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);
const secondsInUnit: Readonly<Record<string, number>> = {s: 1, min: 60, h: 3600};
const millisecondsInUnit: Readonly<Record<string, number>> = {ms: 1, s: millisecondsInSecond, min: 60 * millisecondsInSecond};

function checkFinite(value: number, token: IToken): number {
	if (!Number.isFinite(value)) {
		throw new StatementSyntaxError(`${token.image} is too large`, token.startOffset);
	}

	return value;
}

/** Reads a number. */
export function readNumber(token: IToken): number {
	return checkFinite(Number(token.image), token);
}

/** Reads a whole number that is not below 0. */
export function readWholeNumber(token: IToken): number {
	const value = Number(token.image);
	if (!Number.isSafeInteger(value) || value < 0) {
		throw new StatementSyntaxError(`expected a whole number from 0, found ${JSON.stringify(token.image)}`, token.startOffset);
	}

	return value;
}

/** Reads a rate and converts it to requests per second. */
export function readRate(token: IToken): number {
	const [amount, unit] = token.image.split('/') as [string, string];
	return checkFinite(Number(amount) / secondsInUnit[unit]!, token);
}

/** Reads a duration and rounds it to whole milliseconds, at least 1. */
export function readDuration(token: IToken): number {
	const unit = /[a-z]+$/.exec(token.image)![0];
	const amount = Number(token.image.slice(0, -unit.length));
	const milliseconds = Math.round(checkFinite(amount * millisecondsInUnit[unit]!, token));
	if (milliseconds < 1) {
		throw new StatementSyntaxError('expected a duration of at least 1ms', token.startOffset);
	}

	return milliseconds;
}

/** Reads the name of an HTTP method and converts it to capitals. */
export function readMethod(token: IToken): string {
	const method = token.image.toUpperCase();
	if (!allowedMethods.has(method)) {
		throw new StatementSyntaxError(`expected an HTTP method (${[...allowedMethods].join(', ')}), found ${JSON.stringify(token.image)}`, token.startOffset);
	}

	return method;
}

/** Reads text in quotes and resolves its escapes. */
export function readQuoted(token: IToken): string {
	return token.image.slice(1, -1).replaceAll(/\\(["\\])/g, '$1');
}
