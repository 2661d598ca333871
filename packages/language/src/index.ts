/**
Grammar of the operators' statements.
*/

export * from './evaluate-query/index.js';
export * from './help-text/index.js';
export * from './parse-statement/index.js';
export * from './point-at/index.js';
export * from './print-rows/index.js';
export * from './print-statement/index.js';
export * from './statement-syntax-error/index.js';
export * from './to-configuration-change/index.js';
export type * from './types.js';
