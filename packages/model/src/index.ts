/**
Shared types, branded ids, errors, constants and the clock and random interfaces.
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
