/**
Messages of syntax errors: which tokens were expected and which one was found.
*/

import {
	tokenLabel, tokenMatcher, EOF, type IParserErrorMessageProvider, type IToken, type TokenType,
} from 'chevrotain';

const maximumListedLabels = 14;

function describeToken(token: IToken): string {
	return tokenMatcher(token, EOF) ? 'the end of the statement' : JSON.stringify(token.image);
}

function joinLabels(types: readonly TokenType[]): string {
	const labels = [...new Set(types.map(type => tokenLabel(type)))];
	if (labels.length > maximumListedLabels) {
		return `${labels.slice(0, maximumListedLabels).join(', ')} or another of ${labels.length}`;
	}

	if (labels.length < 2) {
		return labels.join('');
	}

	return `${labels.slice(0, -1).join(', ')} or ${labels.at(-1)}`;
}

function collectFirstTypes(paths: readonly TokenType[][][]): readonly TokenType[] {
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

/** Builds the error messages of the parser. */
export const syntaxErrorMessages: IParserErrorMessageProvider = {
	buildMismatchTokenMessage: ({expected, actual}) => `expected ${tokenLabel(expected)}, found ${describeToken(actual)}`,
	buildNotAllInputParsedMessage: ({firstRedundant}) => `expected the end of the statement, found ${describeToken(firstRedundant)}`,
	buildNoViableAltMessage: ({expectedPathsPerAlt, actual}) => `expected ${joinLabels(collectFirstTypes(expectedPathsPerAlt))}, found ${describeToken(actual[0]!)}`,
	buildEarlyExitMessage: ({expectedIterationPaths, actual}) => `expected ${joinLabels(collectFirstTypes([expectedIterationPaths]))}, found ${describeToken(actual[0]!)}`,
};
