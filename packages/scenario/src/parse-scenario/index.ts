/**
Parses the text of a scenario and checks that its references resolve.
*/

import {tokenMatcher, EOF} from 'chevrotain';
import {ScenarioParser} from '../_lib/scenario-parser/index.js';
import {scenarioLexer} from '../_lib/scenario-tokens/index.js';
import {ScenarioSyntaxError} from '../scenario-syntax-error/index.js';
import type {Scenario} from '../scenario.types.js';

const parser = new ScenarioParser();

/**
Checks that every caller, node and failure domain that is referred to is declared.

@throws {ScenarioSyntaxError} A reference is not declared.
*/
function validateReferences(scenario: Scenario): void {
	const callers = new Set(scenario.callers.map(caller => caller.name));
	const nodes = new Set(scenario.upstreams.map(upstream => upstream.node));
	const domains = new Set(scenario.upstreams.map(upstream => upstream.domain));
	for (const {measure, line} of scenario.expectations) {
		const isKnown = measure.kind === 'work' ? nodes.has(measure.node) : callers.has(measure.caller);
		if (!isKnown) {
			throw new ScenarioSyntaxError('the expectation refers to an undeclared caller or upstream', line, 1);
		}
	}

	for (const {fault, line} of scenario.events) {
		const isUnknownNode = 'node' in fault && !nodes.has(fault.node);
		const isUnknownDomain = fault.kind === 'cut' && !domains.has(fault.domain);
		if (isUnknownNode || isUnknownDomain) {
			throw new ScenarioSyntaxError('the event refers to an undeclared upstream or failure domain', line, 1);
		}
	}
}

/**
Parses a scenario.

@throws {ScenarioSyntaxError} The text is not a valid scenario or contains an undeclared reference.
*/
export function parseScenario(text: string): Scenario {
	const {tokens, errors} = scenarioLexer.tokenize(text);
	const lexingError = errors[0];
	if (lexingError !== undefined) {
		throw new ScenarioSyntaxError(`unexpected character ${JSON.stringify(text.charAt(lexingError.offset))}`, lexingError.line ?? 1, lexingError.column ?? 1);
	}

	parser.input = tokens;
	const parsed = parser.scenario();
	const error = parser.errors[0];
	const lines = text.split('\n');
	if (error !== undefined) {
		const isAtEnd = tokenMatcher(error.token, EOF);
		const line = isAtEnd ? lines.length : error.token.startLine ?? 1;
		throw new ScenarioSyntaxError(error.message, line, isAtEnd ? lines.at(-1)!.length + 1 : error.token.startColumn ?? 1);
	}

	const scenario: Scenario = {
		...parsed, expectations: parsed.expectations.map(expectation => ({...expectation, text: lines[expectation.line - 1]!.trim()})),
	};
	validateReferences(scenario);
	return scenario;
}
