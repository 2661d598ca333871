/**
RPC between processes and HTTP plumbing.
*/

export type * from './types.js';
