/**
A replicated log after the Raft algorithm, implemented as a pure state machine that performs no input or output.
*/

export type * from './_lib/consensus-storage.js';
export * from './decode-message/index.js';
export * from './encode-message/index.js';
export * from './errors/index.js';
export * from './load-stored-state/index.js';
export * from './raft-consensus/index.js';
export type * from './types.js';
export * from './write-persist-action/index.js';
