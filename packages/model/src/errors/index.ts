/**
Error classes. Every failure has a class with a `code` that programs can rely on.
*/

/** The root of all errors that fireflyglade throws. */
export abstract class FireflygladeError extends Error {
	/** Stable name of the failure, for programs. */
	abstract get code(): string;

	constructor(message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}

/** A value from outside has the wrong form. */
export class InvalidInputError extends FireflygladeError {
	get code(): 'invalid-input' {
		return 'invalid-input';
	}
}

/** A place that can't be reached by code, such as an unknown variant of a union. */
export class UnreachableError extends FireflygladeError {
	get code(): 'unreachable' {
		return 'unreachable';
	}

	constructor(value: never) {
		super(`unexpected value ${JSON.stringify(value)}`);
	}
}
