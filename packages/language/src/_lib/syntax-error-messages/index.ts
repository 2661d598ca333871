/**
Messages of syntax errors: what was found, and what could stand there.
*/

import {
	tokenLabel, tokenMatcher, EOF, type IParserErrorMessageProvider, type IToken, type TokenType,
} from 'chevrotain';

const maximumListed = 14;

function describeToken(token: IToken): string {
	return tokenMatcher(token, EOF) ? 'the end of the statement' : JSON.stringify(token.image);
}

function joinLabels(types: readonly TokenType[]): string {
	const labels = [...new Set(types.map(type => tokenLabel(type)))];
	if (labels.length > maximumListed) {
		return `${labels.slice(0, maximumListed).join(', ')} or another of ${labels.length}`;
	}

	if (labels.length < 2) {
		return labels.join('');
	}

	return `${labels.slice(0, -1).join(', ')} or ${labels.at(-1)}`;
}

function firstTypes(paths: readonly TokenType[][][]): readonly TokenType[] {
	const types: TokenType[] = [];
	for (const alternative of paths) {
		for (const path of alternative) {
			const first = path[0];
			if (first !== undefined) {
				types.push(first);
			}
		}
	}

	return types;
}

/** Writes the messages of the parser. */
export const syntaxErrorMessages: IParserErrorMessageProvider = {
	buildMismatchTokenMessage: ({expected, actual}) => `expected ${tokenLabel(expected)}, found ${describeToken(actual)}`,
	buildNotAllInputParsedMessage: ({firstRedundant}) => `expected the end of the statement, found ${describeToken(firstRedundant)}`,
	buildNoViableAltMessage: ({expectedPathsPerAlt, actual}) => `expected ${joinLabels(firstTypes(expectedPathsPerAlt))}, found ${describeToken(actual[0]!)}`,
	buildEarlyExitMessage: ({expectedIterationPaths, actual}) => `expected ${joinLabels(firstTypes([expectedIterationPaths]))}, found ${describeToken(actual[0]!)}`,
};
