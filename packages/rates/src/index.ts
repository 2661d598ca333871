/**
Holds each team to its rate and burst over all VMs together.
*/

export type * from './types.js';
