/**
Errors of a control process.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** No quorum confirmed a command, a membership change or a read in time. A command may still be applied; a resend with the same command id returns its outcome. */
export class NoQuorumError extends FireflygladeError {
	get code(): 'no-quorum' {
		return 'no-quorum';
	}
}

/** The data folder could not be written; the process must exit. */
export class StorageFailedError extends FireflygladeError {
	get code(): 'storage-failed' {
		return 'storage-failed';
	}
}

/** The process is shutting down and accepts no more commands. */
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

/** The replicated log refused a proposal that it must always accept. */
export class UnexpectedRefusalError extends FireflygladeError {
	get code(): 'unexpected-refusal' {
		return 'unexpected-refusal';
	}
}

/** A membership change was refused. */
export class MembershipChangeRefusedError extends FireflygladeError {
	get code(): 'members-refused' {
		return 'members-refused';
	}
}
