/**
The choice of the witnesses of a failure domain.

The configuration names them. Where it names none, the node with the lowest id
that was ever seen in the domain is the only one, and only once every seed has
been heard, so that two halves of a young domain don't each choose their own.
That serves a first start and a domain of one node; the guarantee of one holder
needs witnesses in the configuration.
*/

import type {NodeId} from '@fireflyglade/model';
import type {GossipState} from '../gossip-state/index.js';

/** The witnesses, and whether they come from the configuration. */
export type Witnesses = {
	readonly witnesses: readonly NodeId[];
	readonly isProvisional: boolean;
};

/** Chooses the witnesses of the node's own domain; `hasJoined` tells that every seed has been heard. */
export function chooseWitnesses({configuration, domain, table}: GossipState, hasJoined: boolean): Witnesses {
	const configured = configuration.domains.get(domain)?.witnesses ?? [];
	if (configured.length > 0) {
		return {witnesses: configured, isProvisional: false};
	}

	if (!hasJoined) {
		return {witnesses: [], isProvisional: true};
	}

	let lowest: NodeId | undefined;
	for (const {description} of table.records()) {
		if (description.domain === domain && (lowest === undefined || description.node < lowest)) {
			lowest = description.node;
		}
	}

	return {witnesses: lowest === undefined ? [] : [lowest], isProvisional: true};
}
