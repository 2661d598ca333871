/**
The daemon that keeps the replicated configuration.
*/

export * from './control-process/index.js';
export * from './errors/index.js';
export type {Operator} from './statement-service/index.js';
