/**
Durable storage of a log and its snapshots in files.
*/

export * from './errors/index.js';
export * from './memory-file-system/index.js';
export * from './node-file-system/index.js';
export * from './open-log-storage/index.js';
export * from './space-waiting-file-system/index.js';
export type * from './types.js';
