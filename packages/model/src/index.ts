/**
Types, identifiers, errors and constants that all packages share, with the interfaces of clocks and random sources.
*/

export type * from './call-context/index.js';
export * from './clock/index.js';
export * from './configuration/index.js';
export * from './constants/index.js';
export * from './errors/index.js';
export type * from './gate-level/index.js';
export * from './identifiers/index.js';
export * from './problem/index.js';
export * from './random-source/index.js';
export * from './text-hash/index.js';
export type * from './upstream-departure/index.js';
export type * from './upstream-load/index.js';
export * from './work-class/index.js';
