/**
Chooses the witnesses of a failure domain.

The configuration names them. If it names none, the only witness is the node with the
lowest id of all members known in the domain, including dead ones. It is chosen only
once this node has had contact with every seed, so that two parts of a new domain do not
each choose their own witness. This is sufficient for the first start and for a domain
of one node. To guarantee a single lease holder, the configuration must name the
witnesses.
*/

import type {NodeId} from '@fireflyglade/model';
import type {GossipState} from '../gossip-state/index.js';

/** The witnesses; `isProvisional` is true if the configuration names none. */
export type WitnessChoice = {
	readonly witnesses: readonly NodeId[];
	readonly isProvisional: boolean;
};

/** Chooses the witnesses of the node's own domain; `hasContactedSeeds` is true if the node has had contact with every seed. */
export function chooseWitnesses({configuration, domain, table}: GossipState, hasContactedSeeds: boolean): WitnessChoice {
	const configured = configuration.domains.get(domain)?.witnesses ?? [];
	if (configured.length > 0) {
		return {witnesses: configured, isProvisional: false};
	}

	if (!hasContactedSeeds) {
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
