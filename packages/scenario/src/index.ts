/**
Stand-ins, load tool, benches and scenario language.
*/

export type * from './bench/types.js';
export * from './daemon-fleet/index.js';
export * from './daemon-process/index.js';
export * from './stand-in-upstream/index.js';
