/**
Decides at the gate which request runs, waits or is refused.
*/

export * from './adaptive-limit/index.js';
export * from './announced-limit/index.js';
export * from './gate-admission/index.js';
export type * from './types.js';
