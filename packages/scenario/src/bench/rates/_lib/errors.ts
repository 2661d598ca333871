/**
Errors thrown by the bench itself.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** Thrown when a condition that the bench waits for is not met in time. */
export class BenchTimeoutError extends FireflygladeError {
	get code(): 'bench-timeout' {
		return 'bench-timeout';
	}
}
