/**
Failure detection, gossip and leased roles between nodes.
*/

export type * from './types.js';
