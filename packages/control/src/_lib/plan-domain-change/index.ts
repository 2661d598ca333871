/**
Plans the settings of failure domains in deployments where no operator sets them.

Each failure domain with a present node gets a weight of 1 unless it already has
one, so that all domains receive equal shares of the teams' rates. Up to three of
its nodes act as witnesses, which grant the leases of the domain by majority. An even
number of witnesses is only an intermediate step, because it tolerates no more failures
than one witness fewer.

Once a domain has witnesses, they change one at a time. A witness that stops
reporting is replaced only after a delay, because a node that restarts resumes its
role as a witness.
*/

import type {
	DomainSettings, FailureDomain, NodeId,
} from '@fireflyglade/model';

/** A node that has reported to a control process. */
export type ObservedNode = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Milliseconds since the last report of the node. */
	readonly millisecondsSinceReport: number;
};

const targetWitnessCount = 3;
/** Age of the last report up to which a node counts as present and may become a witness. */
const presenceTimeoutMilliseconds = 2500;
/** Age of the last report above which a witness is replaced. */
const witnessReplacementMilliseconds = 10_000;

/**
Plans the next change of a failure domain.

@param nodes - All known nodes, whether or not they are present.
@param domains - The failure domains of the configuration.
@returns The new settings of one domain, or `undefined` if no domain needs a change.
*/
export function planDomainChange(nodes: readonly ObservedNode[], domains: ReadonlyMap<FailureDomain, DomainSettings>): DomainSettings | undefined {
	const domainNames = new Set(nodes.filter(node => isPresent(node)).map(({domain}) => domain));
	for (const name of [...domainNames].sort()) {
		const witnesses = planWitnesses(nodes.filter(({domain}) => domain === name), domains.get(name)?.witnesses ?? []);
		if (witnesses !== undefined) {
			return {name, weight: domains.get(name)?.weight ?? 1, witnesses};
		}
	}

	return undefined;
}

function planWitnesses(nodes: readonly ObservedNode[], witnesses: readonly NodeId[]): readonly NodeId[] | undefined {
	const present = nodes.filter(node => isPresent(node)).map(({node}) => node).sort();
	const candidates = present.filter(node => !witnesses.includes(node));
	if (witnesses.length === 0) {
		return candidates.length === 0 ? undefined : candidates.slice(0, candidates.length < targetWitnessCount ? 1 : targetWitnessCount);
	}

	const lostWitness = witnesses.find(witness => findMillisecondsSinceReport(nodes, witness) > witnessReplacementMilliseconds);
	if (lostWitness !== undefined && (candidates.length > 0 || witnesses.length > 1)) {
		return witnesses.length > 1 ? witnesses.filter(witness => witness !== lostWitness) : [...witnesses, candidates[0]!];
	}

	const canReachTarget = witnesses.length < targetWitnessCount && witnesses.length + candidates.length >= targetWitnessCount;
	const hasEvenCount = witnesses.length % 2 === 0;
	if (candidates.length > 0 && (canReachTarget || hasEvenCount)) {
		return [...witnesses, candidates[0]!];
	}

	return hasEvenCount && witnesses.length > 1 ? witnesses.slice(0, -1) : undefined;
}

function isPresent({millisecondsSinceReport}: ObservedNode): boolean {
	return millisecondsSinceReport <= presenceTimeoutMilliseconds;
}

function findMillisecondsSinceReport(nodes: readonly ObservedNode[], witness: NodeId): number {
	return nodes.find(({node}) => node === witness)?.millisecondsSinceReport ?? Number.POSITIVE_INFINITY;
}
