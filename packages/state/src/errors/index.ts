/**
Errors of the state machine and its codecs.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** An encoded command or saved state is corrupt or has an unknown format version. */
export class StateFormatError extends FireflygladeError {
	get code(): 'state-format' {
		return 'state-format';
	}
}
