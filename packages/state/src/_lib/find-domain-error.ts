/**
Validates the settings of a failure domain.
*/

import type {DomainSettings, NodeId} from '@fireflyglade/model';

/** The most witnesses, which are the nodes that vote on the leases of a domain. */
const maximumWitnesses = 5;

/**
Finds the first error in the settings of a failure domain.

Witnesses are added or removed one at a time, so that every majority of the previous
witnesses has a member in common with every majority of the new ones. This does not
hold between nodes whose settings are more than one change apart.

@param previous - The settings to be replaced, if there are any.
@returns The error as a sentence, or undefined if the settings are valid.
*/
export function findDomainError(domain: DomainSettings, previous: DomainSettings | undefined): string | undefined {
	if (!Number.isFinite(domain.weight) || domain.weight <= 0) {
		return 'the weight of a domain is a number above 0';
	}

	const witnesses = new Set(domain.witnesses);
	if (witnesses.size !== domain.witnesses.length) {
		return 'a witness is named twice';
	}

	if (witnesses.size === 0 || witnesses.size > maximumWitnesses) {
		return `a domain has 1 to ${maximumWitnesses} witnesses`;
	}

	if (previous !== undefined && countAbsent(previous.witnesses, witnesses) + countAbsent(domain.witnesses, new Set(previous.witnesses)) > 1) {
		return 'the witnesses of a domain change one at a time: add one or remove one';
	}

	return undefined;
}

function countAbsent(wanted: readonly NodeId[], present: ReadonlySet<NodeId>): number {
	let absentCount = 0;
	for (const node of wanted) {
		if (!present.has(node)) {
			absentCount++;
		}
	}

	return absentCount;
}
