/**
Constants of membership.
*/

import {maximumClockDrift} from '@fireflyglade/model';

/** Interval at which a node probes another member. */
export const probeIntervalMilliseconds = 1000;
/** Milliseconds without an acknowledgement after which other members are asked to probe. */
export const probeTimeoutMilliseconds = 300;
/** Milliseconds without any acknowledgement after which a member is suspected. */
export const indirectProbeTimeoutMilliseconds = 900;
/** Number of members that are asked to probe on a node's behalf. */
export const indirectProbeCount = 3;
/** Milliseconds that a suspected member has to refute the suspicion before it is declared dead. */
export const suspicionMilliseconds = 2500;
/** Milliseconds after which the record of a dead or departed member is removed. */
export const tombstoneLifetimeMilliseconds = 600_000;
/** Number of peers to which urgent updates are sent at once. */
export const pushFanout = 3;
/** Number of times that an update is sent, for each doubling of the number of members. */
export const updateRepeatsPerDoubling = 3;
/** Milliseconds after which an update is no longer sent. */
export const updateLifetimeMilliseconds = 10_000;
/** Maximum number of updates in one message. */
export const updatesPerMessage = 24;
/** Number of nodes of a domain that exchange probes with other domains. */
export const gatewayCount = 3;
/** Interval between two attempts to contact a seed or a dead member. */
export const rejoinIntervalMilliseconds = 2000;
/** Average number of nodes of a domain that probe a dead member in one rejoin interval. */
export const deadProbersPerInterval = 4;
/** Interval between two attempts to join, until a peer has sent its full state. */
export const joinIntervalMilliseconds = 300;
/** Milliseconds without a peer's full state after which a node counts as joined on its own. */
export const joinTimeoutMilliseconds = 2000;
/** Minimum interval between two requests for the full state of a peer (anti-entropy), and the time for which digests must have differed before. */
export const synchronizationIntervalMilliseconds = 1000;
/** Milliseconds without contact after which a domain or the control quorum counts as unreachable. */
export const evidenceLifetimeMilliseconds = 5000;
/** Minimum interval between two pulses of a node (announcements of its gate's level and its revision), for each member of its domain. */
export const pulseIntervalMillisecondsPerMember = 30;
/** Minimum interval between two pulses of a node. */
export const minimumPulseIntervalMilliseconds = 1000;
/** Nominal duration of the lease of a role. */
export const leaseMilliseconds = 2000;
/** Interval between two renewals of a lease. */
export const renewalIntervalMilliseconds = 500;
/** Interval between two renewals while the witnesses lag behind the holder's configuration revision. */
export const fastRenewalIntervalMilliseconds = 50;
/** Milliseconds after which a candidate without a majority abandons its round. */
export const electionRoundTimeoutMilliseconds = 400;
/** Upper bound of the random backoff of a candidate after an abandoned round. */
export const maximumRoundBackoffMilliseconds = 400;
/** Delay between the starts of two candidates that follow one another in order. */
export const candidacyDelayMilliseconds = 200;
/** Milliseconds, by its own clock, for which a candidate may use a lease: shortened by the maximum clock drift. */
export const candidateLeaseMilliseconds = leaseMilliseconds * (1 - maximumClockDrift);
/** Milliseconds for which a witness counts a lease as granted: extended by the clock drift so that it outlasts the candidate's use. */
export const witnessLeaseMilliseconds = leaseMilliseconds * (1 + (2 * maximumClockDrift));
