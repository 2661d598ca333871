/**
The base class of all errors, and errors that any package may throw. Each error class has a stable `code` for programs.
*/

/** The base class of all errors that fireflyglade throws. */
export abstract class FireflygladeError extends Error {
	/** Stable code of the error, for programs. */
	abstract get code(): string;

	constructor(message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}

/** A value from outside the system is malformed. */
export class InvalidInputError extends FireflygladeError {
	get code(): 'invalid-input' {
		return 'invalid-input';
	}
}

/** Code that is unreachable by its types was reached, such as the case of an unknown variant of a union. */
export class UnreachableError extends FireflygladeError {
	get code(): 'unreachable' {
		return 'unreachable';
	}

	constructor(value: never) {
		super(`unexpected value ${JSON.stringify(value)}`);
	}
}
