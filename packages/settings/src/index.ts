/**
Loads and validates settings files in JSON with comments.
*/

export * from './load-control-settings/index.js';
export * from './load-node-settings/index.js';
export * from './settings-error/index.js';
export type * from './types.js';
