/**
Errors of a control process.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** No quorum took the command in time. It may still be applied: a resend with the same command id tells. */
export class NoQuorumError extends FireflygladeError {
	get code(): 'no-quorum' {
		return 'no-quorum';
	}
}

/** The data folder could not be written; the process must not go on. */
export class StorageFailedError extends FireflygladeError {
	get code(): 'storage-failed' {
		return 'storage-failed';
	}
}

/** The process shuts down and takes no more commands. */
export class ShuttingDownError extends FireflygladeError {
	get code(): 'shutting-down' {
		return 'shutting-down';
	}
}

/** The operator token is missing or unknown. */
export class UnknownOperatorError extends FireflygladeError {
	get code(): 'unknown-operator' {
		return 'unknown-operator';
	}
}

/** The replicated log refused what it should never refuse. */
export class UnexpectedRefusalError extends FireflygladeError {
	get code(): 'unexpected-refusal' {
		return 'unexpected-refusal';
	}
}

/** A change of the members was refused. */
export class MembershipChangeRefusedError extends FireflygladeError {
	get code(): 'members-refused' {
		return 'members-refused';
	}
}
