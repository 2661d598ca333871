/**
Messages between members.

Property names and kinds are sent as they are, so they must not be renamed.
*/

import type {
	FailureDomain, FencingNumber, GateLevel, KeyId, NodeId, Revision,
} from '@fireflyglade/model';
import type {DomainRole, MemberState, SelfDescription} from '../types.js';

/** The rarely changing part of a member's self-description, which is spread to all domains. */
export type MemberDescription = Omit<SelfDescription, 'level' | 'revision'>;

/** The record of a member; the higher incarnation wins, then the higher version, then the state in the order alive, suspect, dead, left. */
export type MemberRecord = {
	readonly description: MemberDescription;
	/** Number of the member's run of its process. */
	readonly incarnation: number;
	/** Version of the record within the run. */
	readonly version: number;
	readonly state: MemberState;
};

/** The frequently changing part of a member's self-description, which is spread only within its domain. */
export type Pulse = {
	readonly node: NodeId;
	readonly incarnation: number;
	readonly sequence: number;
	readonly level?: GateLevel;
	readonly revision: Revision;
};

/** An announcement of who holds a leased role. */
export type LeaseNotice = {
	readonly role: DomainRole;
	readonly domain: FailureDomain;
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	/** Revision that the holder and a majority of its witnesses have reached. */
	readonly revision: Revision;
};

/** An update that is spread by gossip. */
export type GossipUpdate =
	| {readonly kind: 'member'; readonly record: MemberRecord}
	| {readonly kind: 'pulse'; readonly pulse: Pulse}
	| {readonly kind: 'lease'; readonly lease: LeaseNotice}
	| {readonly kind: 'withdrawn'; readonly keys: readonly KeyId[]};

/** A summary of a failure domain: a digest of its members, and the time since the last contact with it. */
export type DomainDigest = {
	readonly domain: FailureDomain;
	readonly digest: number;
	/** Absent if there has been no contact with the domain. */
	readonly ageMilliseconds?: number;
};

/** The part that every message carries, whatever its kind. */
export type Envelope = {
	readonly sender: NodeId;
	readonly domain: FailureDomain;
	readonly revision: Revision;
	/** Milliseconds since the last known contact with the control quorum, or undefined if there was none. */
	readonly quorumAgeMilliseconds?: number;
	readonly domains: readonly DomainDigest[];
	/** Number of withdrawn keys that the sender knows. */
	readonly withdrawnCount: number;
	/** Gossip updates; `rumors` is their name on the wire. */
	readonly rumors: readonly GossipUpdate[];
};

/** A candidate's request for a vote on a lease. */
export type LeaseRequest = {
	readonly role: DomainRole;
	readonly candidate: NodeId;
	readonly fencing: FencingNumber;
	readonly witnesses: readonly NodeId[];
	/** Number of the request at the candidate. */
	readonly round: number;
};

/** A witness's vote on a lease request. */
export type LeaseVote = {
	readonly role: DomainRole;
	readonly round: number;
	readonly granted: boolean;
	/** Highest fencing number that the witness knows. */
	readonly highestFencing: FencingNumber;
	/** Revision of the witness's configuration. */
	readonly revision: Revision;
};

/**
The part of a message that differs by kind. A `news` message carries only the updates
of its envelope. `synchronize` requests the receiver's full state, which the envelope
of a `state` message carries.
*/
export type Body =
	| {readonly kind: 'probe'; readonly sequence: number}
	| {readonly kind: 'acknowledgement'; readonly sequence: number}
	| {readonly kind: 'indirect-probe'; readonly sequence: number; readonly target: NodeId; readonly targetAddress: string}
	| {readonly kind: 'news'}
	| {readonly kind: 'synchronize'}
	| {readonly kind: 'state'}
	| {readonly kind: 'lease-request'; readonly request: LeaseRequest}
	| {readonly kind: 'lease-vote'; readonly vote: LeaseVote}
	| {readonly kind: 'lease-release'; readonly role: DomainRole; readonly round: number};

/** A message's payload. */
export type Payload = {
	readonly envelope: Envelope;
	readonly body: Body;
};
