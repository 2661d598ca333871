/**
The remote calls between control processes.
*/

import type {MemberId} from '@fireflyglade/model';
import type {MembershipChangeRefusal} from '@fireflyglade/consensus';
import type {NodeReport, RpcMethod} from '@fireflyglade/transport';

/** A batch of messages of the replicated log, in the binary form of the consensus package. */
export type DeliverRequest = {readonly messages: readonly Uint8Array[]};

/** Delivers messages of the replicated log to a member. */
export const deliverMethod: RpcMethod<DeliverRequest, Record<string, never>> = {service: 'consensus', name: 'deliver'};

/** An encoded command of the state package for the leader. */
export type ProposeRequest = {readonly command: Uint8Array};

/** What the leader answers to a command that another member passed on. */
export type ProposeAnswer =
	| {readonly kind: 'result'; readonly result: Uint8Array}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined}
	| {readonly kind: 'no-quorum'};

/** Passes a command on to the leader. */
export const proposeMethod: RpcMethod<ProposeRequest, ProposeAnswer> = {service: 'consensus', name: 'propose'};

/** The addresses of members that a control process knows. */
export type IntroduceMessage = {readonly addresses: ReadonlyMap<MemberId, string>};

/** Exchanges the addresses of members, so that a member that joins is found by the others. */
export const introduceMethod: RpcMethod<IntroduceMessage, IntroduceMessage> = {service: 'consensus', name: 'introduce'};

/** A change of the members for the leader. */
export type ChangeMembersRequest = {readonly action: 'add' | 'remove'; readonly member: MemberId};

/** What the leader answers to a change of the members. */
export type ChangeMembersAnswer =
	| {readonly kind: 'done'; readonly voters: readonly MemberId[]}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined}
	| {readonly kind: 'refused'; readonly reason: MembershipChangeRefusal | 'not-introduced' | 'not-a-member'}
	| {readonly kind: 'no-quorum'};

/** Passes a change of the members on to the leader. */
export const changeMembersMethod: RpcMethod<ChangeMembersRequest, ChangeMembersAnswer> = {service: 'consensus', name: 'changeMembers'};

/** Reports that one control process passes on to the others. */
export type ShareRequest = {readonly reports: ReadonlyArray<{readonly report: NodeReport; readonly ageMilliseconds: number}>};

/** Passes nodes' reports on to another control process. */
export const shareMethod: RpcMethod<ShareRequest, Record<string, never>> = {service: 'control', name: 'share'};

