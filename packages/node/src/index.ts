/**
The node: a daemon that runs beside each upstream, serves callers and protects the
upstream from overload.
*/

export * from './call-interface/index.js';
export type {AnnouncementOutcome, UpstreamAnnouncement} from './_lib/announcement-filter/index.js';
export type {LeaveNotice} from './_lib/upstream-presence/index.js';
export type {AnnouncedUpstream} from './gate/index.js';
export * from './fleet-runtime/index.js';
export * from './fleet-runtime-methods/index.js';
export type * from './types.js';
export type * from './dependencies.js';
export * from './control-claims/index.js';
export * from './control-departures/index.js';
export * from './create-node/index.js';
export * from './start-fleet-node/index.js';
