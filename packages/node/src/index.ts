/**
The daemon beside each upstream.
*/

export * from './fleet-runtime/index.js';
export * from './fleet-runtime-methods/index.js';
export type * from './types.js';
