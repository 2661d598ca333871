/**
RPC between processes and HTTP plumbing.
*/

export * from './create-rpc/index.js';
export * from './frame-connection/index.js';
export * from './frame-listener/index.js';
export * from './frame-rpc-client/index.js';
export * from './frame-rpc-server/index.js';
export * from './http-answer/index.js';
export * from './http-body/index.js';
export * from './http-fields/index.js';
export * from './http-listener/index.js';
export * from './http-sender/index.js';
export type * from './http-types/index.js';
export * from './load-fleet-credentials/index.js';
export * from './message-codec/index.js';
export * from './parse-address/index.js';
export * from './grpc-rpc-client/index.js';
export * from './rpc-error/index.js';
export * from './grpc-rpc-server/index.js';
export * from './types.js';
