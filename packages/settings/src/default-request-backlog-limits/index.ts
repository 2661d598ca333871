/**
The limits for unanswered requests of a listener that states none.
*/

import {bytesInKibibyte, bytesInMebibyte} from '@fireflyglade/model';
import type {RequestBacklogLimits} from '../types.js';

/** Values that no client reaches that sends headers of up to 16 KiB, bodies of up to 64 MiB and a few requests at a time. */
export const defaultRequestBacklogLimits: RequestBacklogLimits = {
	maximumPipelinedRequests: 16,
	maximumPipelinedBytes: 256 * bytesInKibibyte,
	maximumUnansweredRequests: 2000,
	maximumUnansweredBodyBytes: 64 * bytesInMebibyte,
	maximumWaitingBytes: 16 * bytesInMebibyte,
};
