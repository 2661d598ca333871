/**
Declares the error that is thrown for a scenario that cannot be parsed.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** Thrown if the text of a scenario is invalid; holds the line and column of the error. */
export class ScenarioSyntaxError extends FireflygladeError {
	readonly #line: number;
	readonly #column: number;

	get code(): 'scenario-syntax' {
		return 'scenario-syntax';
	}

	/** Line of the error, from 1. */
	get line(): number {
		return this.#line;
	}

	/** Column of the error, from 1. */
	get column(): number {
		return this.#column;
	}

	constructor(message: string, line: number, column: number) {
		super(`line ${line}, column ${column}: ${message}`);
		this.#line = line;
		this.#column = column;
	}
}
