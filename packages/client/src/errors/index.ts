/**
Errors of the operators' client.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** A control process refused a statement. */
export class StatementRefusedError extends FireflygladeError {
	readonly #code: string;
	readonly #position: number | undefined;

	/** The code that the control process gave. */
	get code(): string {
		return this.#code;
	}

	/** Offset of the character at which the error lies, if there is one. */
	get position(): number | undefined {
		return this.#position;
	}

	constructor(code: string, message: string, position: number | undefined) {
		super(message);
		this.#code = code;
		this.#position = position;
	}
}

/** No control process answered. A change may have been accepted: a resend with the same command id tells. */
export class ControlUnreachableError extends FireflygladeError {
	get code(): 'control-unreachable' {
		return 'control-unreachable';
	}
}

/** The answer of a control process has the wrong form. */
export class UnexpectedAnswerError extends FireflygladeError {
	get code(): 'unexpected-answer' {
		return 'unexpected-answer';
	}
}

/** The command line lacks something. */
export class UsageError extends FireflygladeError {
	get code(): 'usage' {
		return 'usage';
	}
}
