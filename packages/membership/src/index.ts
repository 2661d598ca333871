/**
Failure detection, gossip and leased roles between nodes.
*/

export {leaseMilliseconds, witnessLeaseMilliseconds} from './_lib/constants.js';
export * from './gossip-membership/index.js';
export type * from './types.js';
