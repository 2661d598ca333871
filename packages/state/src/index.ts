/**
The replicated configuration state machine, with command deduplication and job claims.
*/

export * from './apply-configuration-change/index.js';
export * from './configuration-state-machine/index.js';
export * from './decode-command/index.js';
export * from './encode-command/index.js';
export * from './errors/index.js';
export type * from './types.js';
