/**
Exports the demo: a control process, nodes and stand-in upstreams in one process.
*/

export * from './start-demo/index.js';
