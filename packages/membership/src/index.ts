/**
Membership of nodes: failure detection, gossip and leased roles.
*/

export {leaseMilliseconds, witnessLeaseMilliseconds} from './_lib/constants.js';
export * from './gossip-membership/index.js';
export type * from './types.js';
