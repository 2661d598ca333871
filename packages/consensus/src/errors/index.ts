/**
Errors of the replicated log.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** An internal invariant of the replicated log is violated; the member must stop. */
export class ConsensusInvariantError extends FireflygladeError {
	get code(): 'consensus-invariant' {
		return 'consensus-invariant';
	}
}

/** Data from a peer or from disk is corrupt or has an unknown format. */
export class ConsensusFormatError extends FireflygladeError {
	get code(): 'consensus-format' {
		return 'consensus-format';
	}
}
