/**
Tokens of the operators' language.

Keywords are case-insensitive. Each is also a word, so that a team may be called
`team`. Only `not` is no word. A name that is spelled `not`, or that contains other
characters than ASCII letters, digits, `_`, `.` and `-`, is written in quotes.
*/

import {createToken, Lexer, type TokenType} from 'chevrotain';

/** A name without quotes. */
export const word = createToken({name: 'Word', label: 'a name', pattern: /\w[\w.-]*/i});

function createKeyword(text: string): TokenType {
	return createToken({
		name: `Keyword_${text}`,
		label: `"${text}"`,
		pattern: new RegExp(text, 'i'),
		longer_alt: word, // eslint-disable-line @typescript-eslint/naming-convention
		categories: text === 'not' ? [] : [word],
	});
}

const keywordNames = [
	'create',
	'change',
	'delete',
	'issue',
	'withdraw',
	'drain',
	'undrain',
	'add',
	'remove',
	'set',
	'show',
	'help',
	'teams',
	'team',
	'keys',
	'key',
	'routes',
	'route',
	'upstreams',
	'upstream',
	'domains',
	'domain',
	'nodes',
	'members',
	'member',
	'history',
	'revision',
	'for',
	'rate',
	'burst',
	'service',
	'priority',
	'idempotent',
	'open',
	'retries',
	'timeout',
	'when',
	'cut',
	'off',
	'serve',
	'refuse',
	'weight',
	'witnesses',
	'yes',
	'no',
	'true',
	'false',
	'all',
	'where',
	'order',
	'by',
	'ascending',
	'asc',
	'descending',
	'desc',
	'limit',
	'and',
	'or',
	'not',
	'like',
	'if',
] as const;

/** The name of a keyword. */
export type KeywordName = typeof keywordNames[number];

const keywordTokens: readonly TokenType[] = keywordNames.map(name => createKeyword(name));
// The lexer takes the first token that matches, so a keyword must come before its own prefixes, such as `teams` before `team`.
const keywordTokensLongestFirst = [...keywordTokens].sort((left, right) => right.name.length - left.name.length);

/** Returns the token of a keyword. */
export function keyword(name: KeywordName): TokenType {
	return keywordTokens[keywordNames.indexOf(name)]!;
}

/** A rate in requests per unit of time, such as `20/s`. */
export const rate = createToken({name: 'Rate', label: 'a rate such as 20/s', pattern: /\d+(?:\.\d+)?(?:e[+-]?\d+)?\/(?:s|min|h)\b/});

/** A duration, such as `500ms`. */
export const duration = createToken({
	name: 'Duration',
	label: 'a duration such as 500ms',
	pattern: /\d+(?:\.\d+)?(?:ms|s|min)\b/,
	longer_alt: word, // eslint-disable-line @typescript-eslint/naming-convention
	categories: [word],
});

/** A number. */
export const numeral = createToken({
	name: 'Numeral',
	label: 'a number',
	pattern: /-?\d+(?:\.\d+)?(?:e[+-]?\d+)?/,
	longer_alt: word, // eslint-disable-line @typescript-eslint/naming-convention
	categories: [word],
});

/** Text in double quotes. A backslash escapes a double quote or a backslash. */
export const quoted = createToken({name: 'Quoted', label: 'text in quotes', pattern: /"(?:[^"\\\n]|\\["\\])*"/});

/** A path pattern. */
export const path = createToken({name: 'Path', label: 'a path such as /orders', pattern: /\/[^\s"]*/});

/** A comparison operator other than `like`. */
export const comparisonSign = createToken({name: 'ComparisonSign', label: 'a comparison', pattern: /!=|<=|>=|[=<>]/});
/** Separates the items of a list. */
export const comma = createToken({name: 'Comma', label: '","', pattern: /,/});
/** Opens a group of a filter. */
export const openParenthesis = createToken({name: 'OpenParenthesis', label: '"("', pattern: /\(/});
/** Closes a group of a filter. */
export const closeParenthesis = createToken({name: 'CloseParenthesis', label: '")"', pattern: /\)/});
const space = createToken({
	name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED,
});

/** All tokens in the order in which the lexer tries them; the first that matches is taken. */
export const tokens: TokenType[] = [
	space, quoted, rate, duration, numeral, path, comparisonSign, comma, openParenthesis, closeParenthesis, ...keywordTokensLongestFirst, word,
];

/** Splits a statement into tokens. */
export const statementLexer = new Lexer(tokens, {positionTracking: 'onlyOffset'});
