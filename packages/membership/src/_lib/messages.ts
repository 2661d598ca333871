/**
Messages between members.
*/

import type {
	FailureDomain, FencingNumber, GateLevel, KeyId, NodeId, Revision,
} from '@fireflyglade/model';
import type {DomainRole, MemberState, SelfDescription} from '../types.js';

/** What a member says of itself that seldom changes. */
export type MemberDescription = Omit<SelfDescription, 'level' | 'revision'>;

/** What is known of a member; the higher incarnation and version wins, then the later state. */
export type MemberRecord = {
	readonly description: MemberDescription;
	/** Number of the member's run. */
	readonly incarnation: number;
	/** Version of the record within the run. */
	readonly version: number;
	readonly state: MemberState;
};

/** What a member says of itself that changes often; spread within its domain alone. */
export type Pulse = {
	readonly node: NodeId;
	readonly incarnation: number;
	readonly sequence: number;
	readonly level?: GateLevel;
	readonly revision: Revision;
};

/** Who holds a leased role. */
export type LeaseNotice = {
	readonly role: DomainRole;
	readonly domain: FailureDomain;
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	/** Revision that the holder and a majority of its witnesses have reached. */
	readonly revision: Revision;
};

/** A piece of news. */
export type GossipUpdate =
	| {readonly kind: 'member'; readonly record: MemberRecord}
	| {readonly kind: 'pulse'; readonly pulse: Pulse}
	| {readonly kind: 'lease'; readonly lease: LeaseNotice}
	| {readonly kind: 'withdrawn'; readonly keys: readonly KeyId[]};

/** What is known of a failure domain: a digest of its members, and how long ago it was heard. */
export type DomainDigest = {
	readonly domain: FailureDomain;
	readonly digest: number;
	/** Absent if the domain was never heard. */
	readonly ageMilliseconds?: number;
};

/** What rides on every message. */
export type Envelope = {
	readonly sender: NodeId;
	readonly domain: FailureDomain;
	readonly revision: Revision;
	/** Milliseconds since word of a control quorum, or undefined if there was none. */
	readonly quorumAgeMilliseconds?: number;
	readonly domains: readonly DomainDigest[];
	readonly withdrawnCount: number;
	readonly rumors: readonly GossipUpdate[];
};

/** A request for a vote on a lease. */
export type LeaseRequest = {
	readonly role: DomainRole;
	readonly candidate: NodeId;
	readonly fencing: FencingNumber;
	readonly witnesses: readonly NodeId[];
	/** Number of the request at the candidate. */
	readonly round: number;
};

/** A witness's vote. */
export type LeaseVote = {
	readonly role: DomainRole;
	readonly round: number;
	readonly granted: boolean;
	/** Highest fencing number that the witness knows of. */
	readonly highestFencing: FencingNumber;
	/** Revision of the witness's configuration. */
	readonly revision: Revision;
};

/** The part of a message that differs by kind. */
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
