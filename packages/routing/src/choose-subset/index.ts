/**
Chooses the subset of a service's targets that one node uses.

Each node ranks the targets of its own failure domain, and those of other
failure domains, by a hash of the target and the node (rendezvous hashing).
This distributes the nodes evenly over the targets, and a target that is added
or removed changes at most one entry of a subset.
*/

import type {FailureDomain, NodeId, Target} from '@fireflyglade/model';

/** Options of `chooseSubset`. */
export type SubsetOptions = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Maximum number of targets in the own failure domain; 16 by default. */
	readonly ownDomainSize?: number;
	/** Maximum number of targets in other failure domains; 8 by default. */
	readonly otherDomainsSize?: number;
};

const defaultOwnDomainSize = 16;
const defaultOtherDomainsSize = 8;
/** A prime below 2^26, so that the square of any rank is exact in a double. */
const modulus = 67_108_859;
const characterFactor = 131;
const mixingRounds = 3;

function hashText(text: string): number {
	let value = 1;
	for (const character of text) {
		value = ((value * characterFactor) + character.codePointAt(0)!) % modulus;
	}

	return value;
}

function rankOf(nodeHash: number, targetHash: number): number {
	let value = nodeHash;
	for (let round = 0; round < mixingRounds; round++) {
		value = ((value * value) + targetHash) % modulus;
	}

	return value;
}

type RankedTarget = {
	readonly target: Target;
	readonly rank: number;
};

/** Returns at most `size` targets, those with the lowest ranks; equal ranks are ordered by upstream. */
function takeFirst(ranked: RankedTarget[], size: number): Target[] {
	if (ranked.length > size) {
		ranked.sort((left, right) => left.rank - right.rank || (left.target.upstream < right.target.upstream ? -1 : 1));
	}

	return ranked.slice(0, size).map(entry => entry.target);
}

/**
Chooses the targets of one service that a node uses.

@example
```ts
chooseSubset(targets, {node, domain, ownDomainSize: 16});
```
*/
export function chooseSubset(targets: readonly Target[], options: SubsetOptions): readonly Target[] {
	const ownDomain: RankedTarget[] = [];
	const otherDomains: RankedTarget[] = [];
	const nodeHash = hashText(options.node);
	for (const target of targets) {
		const ranked: RankedTarget = {target, rank: rankOf(nodeHash, hashText(target.upstream))};
		if (target.domain === options.domain) {
			ownDomain.push(ranked);
			continue;
		}

		otherDomains.push(ranked);
	}

	return [
		...takeFirst(ownDomain, options.ownDomainSize ?? defaultOwnDomainSize),
		...takeFirst(otherDomains, options.otherDomainsSize ?? defaultOtherDomainsSize),
	];
}
