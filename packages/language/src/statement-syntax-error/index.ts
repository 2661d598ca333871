/**
The error of a statement that can't be parsed.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** A statement's text is wrong at a position. */
export class StatementSyntaxError extends FireflygladeError {
	readonly #position: number;

	get code(): 'syntax' {
		return 'syntax';
	}

	/** Offset of the character at which the error lies, from 0; the length of the text if more was expected at its end. */
	get position(): number {
		return this.#position;
	}

	constructor(message: string, position: number) {
		super(message);
		this.#position = position;
	}
}
