/**
Loads and validates settings files in JSON with comments.
*/

export * from './default-request-backlog-limits/index.js';
export * from './load-control-settings/index.js';
export * from './load-node-settings/index.js';
export * from './settings-error/index.js';
export type * from './types.js';
