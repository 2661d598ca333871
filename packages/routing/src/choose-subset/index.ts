/**
The subset of a service's targets that one node uses.

Each node ranks the targets by a hash of the target and itself (rendezvous
hashing), its own failure domain first. Every target so gets an even part of
the nodes, and a target that comes or goes changes one place of the subset.
*/

import type {FailureDomain, NodeId, Target} from '@fireflyglade/model';

/** Options of `chooseSubset`. */
export type SubsetOptions = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Most targets of the own failure domain. */
	readonly ownDomainSize?: number;
	/** Most targets of other failure domains. */
	readonly otherDomainsSize?: number;
};

const defaultOwnDomainSize = 16;
const defaultOtherDomainsSize = 8;
/** A prime below 2^26, so that the square of any rank is an exact number. */
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
	const own: RankedTarget[] = [];
	const others: RankedTarget[] = [];
	const nodeHash = hashText(options.node);
	for (const target of targets) {
		const ranked: RankedTarget = {target, rank: rankOf(nodeHash, hashText(target.upstream))};
		if (target.domain === options.domain) {
			own.push(ranked);
			continue;
		}

		others.push(ranked);
	}

	return [
		...takeFirst(own, options.ownDomainSize ?? defaultOwnDomainSize),
		...takeFirst(others, options.otherDomainsSize ?? defaultOtherDomainsSize),
	];
}
