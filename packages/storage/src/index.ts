/**
Durable log and snapshot files.
*/

export type * from './types.js';
