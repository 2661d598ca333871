/**
Tokens of the scenario language. Line ends mean nothing: each part begins with a
keyword of its own.
*/

import {createToken, Lexer, type TokenType} from 'chevrotain';

/** Any bare name. */
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

/** Finds the token of a keyword. */
export function keyword(name: ScenarioKeyword): TokenType {
	return keywordTokens[keywordNames.indexOf(name)]!;
}

/** Requests a second, such as `20/s`. */
export const rate = createToken({name: 'Rate', label: 'a rate such as 20/s', pattern: /\d+(?:\.\d+)?\/s\b/});
/** A time, such as `500ms` or `2s`. */
export const time = createToken({name: 'Time', label: 'a time such as 500ms', pattern: /\d+(?:\.\d+)?m?s\b/});
/** A share, such as `90%`. */
export const share = createToken({name: 'Share', label: 'a share such as 90%', pattern: /\d+(?:\.\d+)?%/});
/** A whole number. */
export const count = createToken({
	name: 'Count', label: 'a number', pattern: /\d+/, longer_alt: word, // eslint-disable-line @typescript-eslint/naming-convention
});
/** Text in quotes. */
export const quoted = createToken({name: 'Quoted', label: 'text in quotes', pattern: /'[^'\n]*'/});
/** A path. */
export const path = createToken({name: 'Path', label: 'a path such as /orders', pattern: /\/[^\s']*/});
const space = createToken({
	name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED, line_breaks: true, // eslint-disable-line @typescript-eslint/naming-convention
});
const comment = createToken({name: 'Comment', pattern: /#[^\n]*/, group: Lexer.SKIPPED});
const longestFirst = keywordTokens.toSorted((left, right) => right.name.length - left.name.length);

/** All tokens, the first that matches wins. */
export const tokens: TokenType[] = [space, comment, quoted, rate, time, share, count, path, ...longestFirst, word];

/** Cuts a scenario into tokens. */
export const scenarioLexer = new Lexer(tokens);
