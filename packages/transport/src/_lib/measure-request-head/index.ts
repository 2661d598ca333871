/**
Estimates the memory that the head of a request occupies.
*/

import type {IncomingMessage} from 'node:http';
import {bytesInKibibyte} from '@fireflyglade/model';

/** Memory of the objects that the runtime creates for a request. */
const requestObjectBytes = 4 * bytesInKibibyte;
/** Memory of a string beside its characters. */
const stringObjectBytes = 24;

/** Returns the bytes that the head of a request and the runtime's objects for it occupy. */
export function measureRequestHead({url, rawHeaders}: IncomingMessage): number {
	let bytes = requestObjectBytes + url!.length;
	for (const text of rawHeaders) {
		bytes += stringObjectBytes + text.length;
	}

	return bytes;
}
