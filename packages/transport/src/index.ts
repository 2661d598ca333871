/**
RPC between processes and HTTP plumbing.
*/

export * from './load-fleet-credentials/index.js';
export * from './message-codec/index.js';
export * from './rpc-client/index.js';
export * from './rpc-error/index.js';
export * from './rpc-server/index.js';
export * from './types.js';
