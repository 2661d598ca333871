/**
Parses a statement of the operators' language.
*/

import {tokenMatcher, EOF, type IToken} from 'chevrotain';
import {StatementParser} from '../_lib/statement-parser/index.js';
import {statementLexer} from '../_lib/tokens/index.js';
import {StatementSyntaxError} from '../statement-syntax-error/index.js';
import type {Statement} from '../types.js';

const parser = new StatementParser();

function tokenize(text: string): IToken[] {
	const {tokens, errors} = statementLexer.tokenize(text);
	const error = errors[0];
	if (error !== undefined) {
		throw new StatementSyntaxError(`unexpected character ${JSON.stringify(text.charAt(error.offset))}`, error.offset);
	}

	return tokens;
}

function positionOf(token: IToken, text: string): number {
	return tokenMatcher(token, EOF) ? text.length : token.startOffset;
}

/**
Parses a statement.

@throws {StatementSyntaxError} The text is not a valid statement; `position` is between 0 and the length of the text.
@example
```ts
parseStatement('create team brook rate 20/s burst 10');
```
*/
export function parseStatement(text: string): Statement {
	parser.input = tokenize(text);
	const statement = parser.statement();
	const error = parser.errors[0];
	if (error !== undefined) {
		throw new StatementSyntaxError(error.message, positionOf(error.token, text));
	}

	return statement;
}
