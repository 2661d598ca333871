/**
Errors of the replicated log.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** The core found a state that can't come about by its rules: the member must stop. */
export class ConsensusInvariantError extends FireflygladeError {
	get code(): 'consensus-invariant' {
		return 'consensus-invariant';
	}
}

/** Bytes or values from a peer or a disk are of an unknown form. */
export class ConsensusFormatError extends FireflygladeError {
	get code(): 'consensus-format' {
		return 'consensus-format';
	}
}
