/**
Checks of the settings of a failure domain.
*/

import type {DomainSettings, NodeId} from '@fireflyglade/model';

/** The most nodes that grant leases of a domain. */
const maximumWitnesses = 5;

/**
The first fault of a domain's settings, or undefined if there is none.

Witnesses change one at a time, so that a node that still has the last settings
and a node that has the new ones can't find two majorities without a common member
in more than one step.

@param previous - The settings that these would replace, if there are any.
*/
export function findDomainFault(domain: DomainSettings, previous: DomainSettings | undefined): string | undefined {
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

	if (previous !== undefined && countMissing(previous.witnesses, witnesses) + countMissing(domain.witnesses, new Set(previous.witnesses)) > 1) {
		return 'the witnesses of a domain change one at a time: add one or remove one';
	}

	return undefined;
}

function countMissing(wanted: readonly NodeId[], present: ReadonlySet<NodeId>): number {
	let missing = 0;
	for (const node of wanted) {
		if (!present.has(node)) {
			missing++;
		}
	}

	return missing;
}
