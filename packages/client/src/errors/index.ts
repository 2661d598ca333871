/**
Errors of the command-line client for operators.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** A control process refused a statement, or a node a query. */
export class StatementRefusedError extends FireflygladeError {
	readonly #code: string;
	readonly #position: number | undefined;

	/** Error code from the answer of the control process. */
	get code(): string {
		return this.#code;
	}

	/** Offset of the error in the statement in characters, if the answer contains one. */
	get position(): number | undefined {
		return this.#position;
	}

	constructor(code: string, message: string, position: number | undefined) {
		super(message);
		this.#code = code;
		this.#position = position;
	}
}

/** Until the retry timeout, each control process was unreachable or answered with a retryable error. A change may still have been accepted; a resend with the same command id returns its outcome. */
export class ControlUnreachableError extends FireflygladeError {
	get code(): 'control-unreachable' {
		return 'control-unreachable';
	}
}

/** A node's status listener was unreachable, or its answer can't be read. */
export class NodeUnreachableError extends FireflygladeError {
	get code(): 'node-unreachable' {
		return 'node-unreachable';
	}
}

/** The answer of a control process or a node has an unknown format. */
export class UnexpectedAnswerError extends FireflygladeError {
	get code(): 'unexpected-answer' {
		return 'unexpected-answer';
	}
}

/** An option on the command line is missing or invalid, or the token file can't be read. */
export class UsageError extends FireflygladeError {
	get code(): 'usage' {
		return 'usage';
	}
}
