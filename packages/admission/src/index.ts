/**
Decides at the gate which request runs, waits or is refused.
*/

export type * from './types.js';
