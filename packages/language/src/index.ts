/**
Grammar of the operators' statements.
*/

export * from './evaluate-query/index.js';
export * from './get-help-text/index.js';
export * from './parse-statement/index.js';
export * from './format-error-position/index.js';
export * from './format-table/index.js';
export * from './format-statement/index.js';
export * from './statement-syntax-error/index.js';
export * from './to-configuration-change/index.js';
export type * from './types.js';
