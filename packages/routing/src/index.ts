/**
Routing of requests to upstreams, retry budgets, and load shedding at entry nodes.
*/

export * from './backoff-delay/index.js';
export * from './choose-subset/index.js';
export * from './entry-throttle/index.js';
export * from './node-retry-budget/index.js';
export * from './queueing-delay-tracker/index.js';
export * from './refused-share-tracker/index.js';
export * from './remaining-time/index.js';
export * from './retry-delay/index.js';
export * from './root-load-shedder/index.js';
export * from './service-retry-budgets/index.js';
export * from './split-attempts/index.js';
export * from './target-routing/index.js';
export * from './windowed-retry-budget/index.js';
export type * from './types.js';
