/**
The command-line client for operators, as a library.
*/

export * from './check-settings/index.js';
export * from './create-program/index.js';
export * from './errors/index.js';
export * from './format-answer/index.js';
export * from './format-explanation/index.js';
export * from './operator-client/index.js';
export * from './run-explain/index.js';
export * from './run-session/index.js';
export * from './run-statement/index.js';
export * from './run-top/index.js';
export * from './create-statement-sender/index.js';
