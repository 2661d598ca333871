/**
Admission control for a gate: decides whether a request runs, waits in the queue or is refused.
*/

export * from './adaptive-limit/index.js';
export * from './announced-limit/index.js';
export * from './gate-admission/index.js';
export type * from './types.js';
