/**
The daemon beside each upstream.
*/

export type * from './types.js';
