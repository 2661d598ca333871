/**
The remote calls between nodes.
*/

import type {MembershipMessage} from '@fireflyglade/membership';
import type {
	ConfigurationUpdate, KeyId, NodeId, Revision,
} from '@fireflyglade/model';
import type {RateMessage} from '@fireflyglade/rates';
import type {RpcMethod} from '@fireflyglade/transport';

/** A batch of messages between two nodes. */
export type PeerBatch = {
	readonly from: NodeId;
	/** RPC address of the sender. */
	readonly fromAddress: string;
	readonly membership: readonly MembershipMessage[];
	readonly rates: readonly RateMessage[];
};

/** Delivers messages; what the receiver has for the sender rides back. */
export const deliverMethod: RpcMethod<PeerBatch, PeerBatch> = {service: 'node', name: 'deliver'};

/** Asks for what is newer than a revision. */
export type ConfigurationQuestion = {
	readonly after: Revision;
};

/** What is newer, if anything. */
export type ConfigurationAnswer = {
	readonly update?: ConfigurationUpdate;
};

/** Fetches the configuration from a peer. */
export const fetchConfigurationMethod: RpcMethod<ConfigurationQuestion, ConfigurationAnswer> = {service: 'node', name: 'configuration'};

/** Keys to withdraw at once, before the replicated log knows of it. */
export type KeyWithdrawal = {
	readonly keys: readonly KeyId[];
};

/** Withdraws keys at a node, which tells its peers. */
export const withdrawKeysMethod: RpcMethod<KeyWithdrawal, Record<string, never>> = {service: 'node', name: 'withdraw-keys'};
