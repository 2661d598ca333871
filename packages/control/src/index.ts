/**
The daemon that keeps the replicated configuration.
*/

export * from './control-process/index.js';
export * from './errors/index.js';
export * from './load-or-create-member-id/index.js';
export * from './replacement-service/index.js';
export {ChangeRefusedError} from './statement-service/index.js';
export type {Operator} from './statement-service/index.js';
