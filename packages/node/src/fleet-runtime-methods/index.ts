/**
RPC methods between nodes.
*/

import type {MembershipMessage} from '@fireflyglade/membership';
import type {
	ConfigurationUpdate, KeyId, NodeId, Revision,
} from '@fireflyglade/model';
import type {RateMessage} from '@fireflyglade/rates';
import type {RpcMethod} from '@fireflyglade/transport';

/** A batch of messages from one node to another. */
export type PeerBatch = {
	readonly from: NodeId;
	/** RPC address of the sender. */
	readonly fromAddress: string;
	readonly membership: readonly MembershipMessage[];
	readonly rates: readonly RateMessage[];
};

/** Delivers a batch. The answer contains the receiver's messages for the sender. */
export const deliverMethod: RpcMethod<PeerBatch, PeerBatch> = {service: 'node', name: 'deliver'};

/** Requests the changes after a revision. */
export type ConfigurationQuestion = {
	readonly after: Revision;
};

/** The update to a newer revision; absent if there is none. */
export type ConfigurationAnswer = {
	readonly update?: ConfigurationUpdate;
};

/** Fetches the configuration from a peer. */
export const fetchConfigurationMethod: RpcMethod<ConfigurationQuestion, ConfigurationAnswer> = {service: 'node', name: 'configuration'};

/** Keys to withdraw immediately, before the withdrawal is committed to the replicated log. */
export type KeyWithdrawal = {
	readonly keys: readonly KeyId[];
};

/** Withdraws keys at a node, which propagates the withdrawal to its peers. */
export const withdrawKeysMethod: RpcMethod<KeyWithdrawal, Record<string, never>> = {service: 'node', name: 'withdraw-keys'};
