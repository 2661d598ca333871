/**
Chooses the upstream of a request and bounds retries.
*/

export type * from './types.js';
