/**
The daemon beside each upstream.
*/

export * from './create-node/index.js';
export type * from './dependencies.js';
export * from './fleet-runtime/index.js';
export * from './fleet-runtime-methods/index.js';
export * from './node-process/index.js';
export * from './remote-job-claims/index.js';
export * from './remote-outcome-asker/index.js';
export type * from './types.js';
