/**
Distributed rate limiting: limits each team to its rate and burst over all VMs together.
*/

export * from './split-by-weight/index.js';
export * from './distributed-rate-limiter/index.js';
export * from './priority-shares/index.js';
export type * from './types.js';
