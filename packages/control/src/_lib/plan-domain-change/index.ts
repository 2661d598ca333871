/**
Decides the settings of failure domains from the nodes that are heard, where no
operator states them: every domain gets the same part of the teams' rates, and up
to three of its nodes grant its leases.

Witnesses change one at a time. One that is silent is replaced only after a while,
as a node that restarts takes its place again.
*/

import type {
	DomainSettings, FailureDomain, NodeId,
} from '@fireflyglade/model';

/** A node as control knows it. */
export type ObservedNode = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Milliseconds since its last report. */
	readonly millisecondsSinceReport: number;
};

const targetWitnessCount = 3;
/** Silence up to which a node may become a witness. */
const presenceTimeoutMilliseconds = 2500;
/** Silence after which a witness is replaced. */
const witnessReplacementMilliseconds = 10_000;

/**
The next change of a domain, or undefined if all domains are as they should be.

@param nodes - All nodes that were ever heard.
@param domains - The domains of the configuration.
*/
export function planDomainChange(nodes: readonly ObservedNode[], domains: ReadonlyMap<FailureDomain, DomainSettings>): DomainSettings | undefined {
	const names = new Set(nodes.filter(node => isPresent(node)).map(({domain}) => domain));
	for (const name of [...names].sort()) {
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

	const lost = witnesses.find(witness => findMillisecondsSinceReport(nodes, witness) > witnessReplacementMilliseconds);
	if (lost !== undefined && (candidates.length > 0 || witnesses.length > 1)) {
		return witnesses.length > 1 ? witnesses.filter(witness => witness !== lost) : [...witnesses, candidates[0]!];
	}

	const isSpareToFill = witnesses.length < targetWitnessCount && witnesses.length + candidates.length >= targetWitnessCount;
	const isEven = witnesses.length % 2 === 0;
	if (candidates.length > 0 && (isSpareToFill || isEven)) {
		return [...witnesses, candidates[0]!];
	}

	return isEven && witnesses.length > 1 ? witnesses.slice(0, -1) : undefined;
}

function isPresent({millisecondsSinceReport}: ObservedNode): boolean {
	return millisecondsSinceReport <= presenceTimeoutMilliseconds;
}

function findMillisecondsSinceReport(nodes: readonly ObservedNode[], witness: NodeId): number {
	return nodes.find(({node}) => node === witness)?.millisecondsSinceReport ?? Number.POSITIVE_INFINITY;
}
