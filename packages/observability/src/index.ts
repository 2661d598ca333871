/**
Logging, tracing spans, latency histograms and metrics.
*/

export type {Fields, FieldValue} from './_lib/redact-fields/index.js';
export * from './create-logger/index.js';
export * from './decision-log/index.js';
export type * from './metric-families/index.js';
export * from './process-observer/index.js';
export * from './render-exposition/index.js';
export * from './request-metrics/index.js';
export * from './span-recorder/index.js';
