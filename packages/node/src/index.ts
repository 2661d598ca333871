/**
The daemon beside each upstream.
*/

export type * from './types.js';
export type * from './dependencies.js';
export * from './create-node/index.js';
