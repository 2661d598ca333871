/**
RPC between the system's processes, frame connections, and HTTP listeners and senders.
*/

export * from './connection-budget/index.js';
export * from './create-rpc/index.js';
export * from './frame-connection/index.js';
export * from './frame-listener/index.js';
export * from './frame-rpc-client/index.js';
export * from './frame-rpc-server/index.js';
export * from './http-response/index.js';
export * from './http-body/index.js';
export * from './http-fields/index.js';
export {findRequestMemory} from './_lib/connection-backlog/index.js';
export type {RequestMemory} from './_lib/request-memory/index.js';
export * from './http-listener/index.js';
export * from './http-sender/index.js';
export type * from './http-types/index.js';
export * from './load-fleet-credentials/index.js';
export * from './memory-budget/index.js';
export * from './message-codec/index.js';
export * from './parse-address/index.js';
export * from './process-limits/index.js';
export * from './process-resources/index.js';
export * from './grpc-rpc-client/index.js';
export * from './read-call-body/index.js';
export * from './read-whole-body/index.js';
export * from './rpc-error/index.js';
export * from './grpc-rpc-server/index.js';
export * from './types.js';
