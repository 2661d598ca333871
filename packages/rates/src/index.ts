/**
Holds each team to its rate and burst over all VMs together.
*/

export * from './split-entitlement/index.js';
export * from './token-rate-keeper/index.js';
export type * from './types.js';
