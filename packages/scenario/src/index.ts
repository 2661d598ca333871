/**
Stand-ins, load tool, benches and scenario language.
*/

export type * from './bench/types.js';
export * from './stand-in-upstream/index.js';
