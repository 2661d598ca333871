/**
A number between 0 and 1 for each request, in place of a random one. Callers that
are refused at the same moment get different numbers, so that they don't come
back at the same moment.
*/

import {hashText, type RequestId} from '@fireflyglade/model';

const mixer = 0x85_EB_CA_6B;
const range = 2 ** 32;

/** Returns the number of a request, from 0 to just below 1, by a hash of its id (with a final mix, as ids often differ in their last characters only). */
export function getRequestSpread(requestId: RequestId): number {
	const hash = hashText(requestId);
	const mixed = Math.imul(hash ^ (hash >>> 16), mixer); // eslint-disable-line no-bitwise -- Mixes the upper bits into the lower ones.
	return ((mixed ^ (mixed >>> 13)) >>> 0) / range; // eslint-disable-line no-bitwise -- As above.
}
