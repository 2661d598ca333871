/**
Failures of the bench itself.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** Something that the bench waits for did not come about. */
export class BenchTimeoutError extends FireflygladeError {
	get code(): 'bench-timeout' {
		return 'bench-timeout';
	}
}
