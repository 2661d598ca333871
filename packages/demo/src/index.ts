/**
The embedded default: one process with control, nodes and stand-ins.
*/

export * from './start-demo/index.js';
