/**
The error of a statement that can't be parsed.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** Thrown if the text of a statement can't be parsed. */
export class StatementSyntaxError extends FireflygladeError {
	readonly #position: number;

	get code(): 'syntax' {
		return 'syntax';
	}

	/** Offset of the error in the text, in characters from 0; the length of the text if the statement is incomplete. */
	get position(): number {
		return this.#position;
	}

	constructor(message: string, position: number) {
		super(message);
		this.#position = position;
	}
}
