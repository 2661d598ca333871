/**
RPC between processes and HTTP plumbing.
*/

export type * from './types.js';
export type * from './http-types/index.js';
export * from './http-fields/index.js';
export * from './http-answer/index.js';
export * from './http-body/index.js';
export * from './http-listener/index.js';
export * from './http-sender/index.js';
