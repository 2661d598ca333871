/**
The error of a scenario that can't be parsed.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** A scenario's text is wrong at a line and column. */
export class ScenarioSyntaxError extends FireflygladeError {
	readonly #line: number;
	readonly #column: number;

	get code(): 'scenario-syntax' {
		return 'scenario-syntax';
	}

	/** From 1. */
	get line(): number {
		return this.#line;
	}

	/** From 1. */
	get column(): number {
		return this.#column;
	}

	constructor(message: string, line: number, column: number) {
		super(`line ${line}, column ${column}: ${message}`);
		this.#line = line;
		this.#column = column;
	}
}
