/**
The RPC methods between control processes, with the types of their requests and
answers.
*/

import type {MemberId, NodeId, Revision} from '@fireflyglade/model';
import type {MembershipChangeRefusal} from '@fireflyglade/consensus';
import type {NodeReport, RpcMethod, TeamRequestCounts} from '@fireflyglade/transport';

/** A batch of consensus messages, each encoded by the consensus package. */
export type DeliverRequest = {readonly messages: readonly Uint8Array[]};

/** Delivers consensus messages to a member. */
export const deliverMethod: RpcMethod<DeliverRequest, Record<string, never>> = {service: 'consensus', name: 'deliver'};

/** A command for the leader, encoded by the state package. */
export type ProposeRequest = {readonly command: Uint8Array};

/** Answer to a command that another member forwarded. */
export type ProposeAnswer =
	| {readonly kind: 'result'; readonly result: Uint8Array}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined}
	| {readonly kind: 'no-quorum'};

/** Forwards a command to the leader. */
export const proposeMethod: RpcMethod<ProposeRequest, ProposeAnswer> = {service: 'consensus', name: 'propose'};

/** The RPC addresses of members. */
export type IntroduceMessage = {readonly addresses: ReadonlyMap<MemberId, string>};

/** The address of the member that introduces itself, and a digest of all addresses that it knows. */
export type IntroduceRequest = IntroduceMessage & {readonly knownDigest: string};

/** Exchanges member addresses, so that the other members learn the address of a member that joins. The answer is empty if both know the same addresses. */
export const introduceMethod: RpcMethod<IntroduceRequest, IntroduceMessage> = {service: 'consensus', name: 'introduce'};

/** A membership change for the leader. */
export type ChangeMembersRequest = {readonly action: 'add' | 'remove'; readonly member: MemberId};

/** The leader's answer to a membership change. */
export type ChangeMembersAnswer =
	| {readonly kind: 'done'; readonly voters: readonly MemberId[]}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined}
	| {readonly kind: 'refused'; readonly reason: MembershipChangeRefusal | 'not-introduced' | 'not-a-member'}
	| {readonly kind: 'no-quorum'};

/** Forwards a membership change to the leader. */
export const changeMembersMethod: RpcMethod<ChangeMembersRequest, ChangeMembersAnswer> = {service: 'consensus', name: 'changeMembers'};

/** The request counts of the teams, summed over the nodes that report to one control process. */
export type TeamCountsAnswer = {readonly teams: readonly TeamRequestCounts[]};

/** Asks a control process for the request counts of the teams. They are asked for by a query, as sharing them all the time would be most of the traffic between control processes. */
export const teamCountsMethod: RpcMethod<Record<string, never>, TeamCountsAnswer> = {service: 'control', name: 'teamCounts'};

/** Node reports that one control process shares with another, without the counts of teams, and with their ages at the time of sending. */
export type ShareRequest = {
	readonly reports: ReadonlyArray<{readonly report: NodeReport; readonly ageMilliseconds: number}>;
	/** Brief reports: node, revision and age in milliseconds. */
	readonly briefReports: ReadonlyArray<readonly [NodeId, Revision, number]>;
};

/** The nodes of which the receiver has no full report, so that it ignored their brief reports. */
export type ShareAnswer = {readonly unknownNodes: readonly NodeId[]};

/** Shares node reports with another control process. */
export const shareMethod: RpcMethod<ShareRequest, ShareAnswer> = {service: 'control', name: 'share'};

