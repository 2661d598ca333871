/**
The choice of the nodes by which a reporting node joins the others.
*/

import type {FailureDomain} from '@fireflyglade/model';
import type {NodeReport} from '@fireflyglade/transport';
import type {KnownNode} from '../../fleet-registry/index.js';

/** Nodes of the own failure domain that a node is told of. */
const maximumOwnDomainPeers = 3;

/**
Chooses up to three nodes of the reporting node's failure domain and one of each
other domain: those with the lowest ids. So every control process names the same
ones, in whatever order it came to know the nodes, and nodes that report to
different control processes join one fleet.

@param known - The nodes that were heard lately.
@param report - The report of the node that is told.
*/
export function choosePeers(known: readonly KnownNode[], report: NodeReport): readonly string[] {
	const candidates = known.map(({report: candidate}) => candidate).filter(({node, rpcAddress}) => node !== report.node && rpcAddress !== '');
	candidates.sort((left, right) => left.node < right.node ? -1 : 1);
	const peers: string[] = [];
	const others = new Set<FailureDomain>();
	let own = 0;
	for (const {domain, rpcAddress} of candidates) {
		if (domain === report.domain) {
			if (own < maximumOwnDomainPeers) {
				own++;
				peers.push(rpcAddress);
			}
		} else if (!others.has(domain)) {
			others.add(domain);
			peers.push(rpcAddress);
		}
	}

	return peers;
}
