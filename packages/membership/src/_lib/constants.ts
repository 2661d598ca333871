/**
Constants of membership, each with its unit in its name.
*/

import {maximumClockDrift} from '@fireflyglade/model';

/** Milliseconds between two probes of a node. */
export const probeIntervalMilliseconds = 1000;
/** Milliseconds without an acknowledgement after which others are asked to probe. */
export const probeTimeoutMilliseconds = 300;
/** Milliseconds without any acknowledgement after which a member is suspected. */
export const indirectProbeTimeoutMilliseconds = 900;
/** Members asked to probe on a node's behalf. */
export const indirectProbeCount = 3;
/** Milliseconds that a suspected member has to refute before it counts as dead. */
export const suspicionMilliseconds = 2500;
/** Milliseconds after which the record of a dead or departed member is dropped. */
export const tombstoneMilliseconds = 600_000;
/** Peers to which news is sent at once. */
export const pushFanout = 3;
/** Times that a rumor is sent, for each doubling of the number of members. */
export const rumorRepeatsPerDoubling = 3;
/** Milliseconds after which a rumor is no longer sent. */
export const rumorLifeMilliseconds = 10_000;
/** Rumors of one message at most. */
export const rumorsPerMessage = 24;
/** Nodes of a domain that exchange probes with other domains. */
export const gatewayCount = 3;
/** Milliseconds between two attempts to reach a seed or a silent member. */
export const rejoinIntervalMilliseconds = 2000;
/** Nodes of a domain that probe a dead member in one such interval, on average. */
export const rejoiningNodes = 4;
/** Milliseconds between two attempts to join before any peer has told what it knows. */
export const joinIntervalMilliseconds = 300;
/** Milliseconds without word from a peer after which a node goes on alone. */
export const joinPatienceMilliseconds = 2000;
/** Milliseconds between two requests for the whole state of a peer. */
export const synchronizationIntervalMilliseconds = 1000;
/** Milliseconds after which a domain or the quorum that was not heard of counts as silent. */
export const silenceMilliseconds = 5000;
/** Least milliseconds between two pulses of a node, for each member of its domain. */
export const pulseMillisecondsPerMember = 30;
/** Least milliseconds between two pulses of a node. */
export const leastPulseMilliseconds = 1000;
/** Milliseconds for which a role is leased. */
export const leaseMilliseconds = 2000;
/** Milliseconds between two renewals of a lease. */
export const renewalMilliseconds = 500;
/** Milliseconds between two renewals while the witnesses lag behind the holder's revision. */
export const hastyRenewalMilliseconds = 50;
/** Milliseconds after which a candidate without a majority gives its round up. */
export const roundMilliseconds = 400;
/** The longest random pause of a candidate after a round that it gave up. */
export const longestPauseMilliseconds = 400;
/** Milliseconds by which a candidate stands later than the one before it in order. */
export const candidacyStepMilliseconds = 200;
/** Milliseconds for which a candidate of its own clock may use a lease. */
export const usableLeaseMilliseconds = leaseMilliseconds * (1 - maximumClockDrift);
/** Milliseconds for which a witness counts a lease as granted. */
export const witnessLeaseMilliseconds = leaseMilliseconds * (1 + (2 * maximumClockDrift));
