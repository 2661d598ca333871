/**
The parts of the metrics library (prom-client) that are used. They are imported
separately, since its main module also loads collectors of process metrics.
*/

export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Gauge} from 'prom-client/lib/gauge.js';
export {default as Registry} from 'prom-client/lib/registry.js';
