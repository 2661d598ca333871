/**
The class of a request by the work that it needs. Requests of one route need similar
work, so service times are estimated for each class. Nodes exchange the class as a small
number in place of the route's id, because it goes with each call.
*/

import type {RouteId} from '../identifiers/index.js';
import {hashText} from '../text-hash/index.js';

/** The largest work class. */
export const maximumWorkClass = 0xFF_FF;

/**
Returns the work class of a route: a hash of its id, folded to 16 bits, which is
the same on all nodes. Two routes may share a class; their service times are then estimated together.
*/
export function getWorkClass(route: RouteId): number {
	const hash = hashText(route);
	return ((hash >>> 16) ^ hash) & maximumWorkClass; // eslint-disable-line no-bitwise -- Folds the hash.
}
