/**
Errors of the state machine and its codecs.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** Bytes that should hold a command or a saved state are damaged or of an unknown version. */
export class StateFormatError extends FireflygladeError {
	get code(): 'state-format' {
		return 'state-format';
	}
}
