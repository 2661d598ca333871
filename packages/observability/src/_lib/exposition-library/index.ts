/**
The parts of the exposition library that are used. Its main module also loads
collectors of process metrics.
*/

export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Gauge} from 'prom-client/lib/gauge.js';
export {default as Registry} from 'prom-client/lib/registry.js';
