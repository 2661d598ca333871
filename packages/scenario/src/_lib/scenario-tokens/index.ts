/**
Defines the lexer and the tokens of the scenario language. Line breaks are plain
whitespace, as each part of a scenario begins with its own keyword.
*/

import {createToken, Lexer, type TokenType} from 'chevrotain';

/** An unquoted name. */
export const word = createToken({name: 'Word', label: 'a name', pattern: /[a-z\d][\w.-]*/i});

const keywordNames = [
	'upstream',
	'caller',
	'at',
	'expect',
	'end',
	'service',
	'domain',
	'slots',
	'time',
	'key',
	'calls',
	'rate',
	'from',
	'until',
	'jobs',
	'slow',
	'to',
	'crash',
	'restart',
	'leave',
	'cut',
	'heal',
	'statement',
	'goodput',
	'admitted',
	'refusals',
	'by',
	'runs',
	'starts',
	'work',
	'false',
	'of',
	'least',
	'most',
] as const;

/** The name of a keyword. */
export type ScenarioKeyword = typeof keywordNames[number];

const keywordTokens: readonly TokenType[] = keywordNames.map(name => createToken({
	name: `Keyword_${name}`, label: `"${name}"`, pattern: new RegExp(name), longer_alt: word, categories: [word], // eslint-disable-line @typescript-eslint/naming-convention
}));

/** Returns the token type of a keyword. */
export function keyword(name: ScenarioKeyword): TokenType {
	return keywordTokens[keywordNames.indexOf(name)]!;
}

/** A rate in requests per second, such as `20/s`. */
export const rate = createToken({name: 'Rate', label: 'a rate such as 20/s', pattern: /\d+(?:\.\d+)?\/s\b/});
/** A time in milliseconds or seconds, such as `500ms` or `2s`. */
export const time = createToken({name: 'Time', label: 'a time such as 500ms', pattern: /\d+(?:\.\d+)?m?s\b/});
/** A percentage, such as `90%`. */
export const share = createToken({name: 'Share', label: 'a share such as 90%', pattern: /\d+(?:\.\d+)?%/});
/** A whole number. */
export const count = createToken({
	name: 'Count', label: 'a number', pattern: /\d+/, longer_alt: word, // eslint-disable-line @typescript-eslint/naming-convention
});
/** Text in single quotes, on one line. */
export const quoted = createToken({name: 'Quoted', label: 'text in quotes', pattern: /'[^'\n]*'/});
/** A URL path. */
export const path = createToken({name: 'Path', label: 'a path such as /orders', pattern: /\/[^\s']*/});
const space = createToken({
	name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED, line_breaks: true, // eslint-disable-line @typescript-eslint/naming-convention
});
const comment = createToken({name: 'Comment', pattern: /#[^\n]*/, group: Lexer.SKIPPED});
const longestFirst = keywordTokens.toSorted((left, right) => right.name.length - left.name.length);

/** All token types in the order of matching: the lexer takes the first that matches. */
export const tokens: TokenType[] = [space, comment, quoted, rate, time, share, count, path, ...longestFirst, word];

/** Lexer of the scenario language. */
export const scenarioLexer = new Lexer(tokens);
