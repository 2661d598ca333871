/**
Exports the daemon fleet, the daemon process, the stand-ins for upstreams and misbehaving
clients, and the types of the bench results.
*/

export type * from './bench/types.js';
export * from './daemon-fleet/index.js';
export * from './daemon-process/index.js';
export * from './misbehave/index.js';
export * from './stand-in-upstream/index.js';
