/**
Replicated log as a pure core.
*/

export type * from './types.js';
