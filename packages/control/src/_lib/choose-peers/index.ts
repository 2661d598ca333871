/**
The choice of the nodes by which a reporting node joins the others.
*/

import type {FailureDomain} from '@fireflyglade/model';
import type {NodeReport} from '@fireflyglade/transport';
import type {KnownNode} from '../../fleet-registry/index.js';

/** Nodes of the own failure domain that a node is told of. */
const ownDomainPeers = 3;

/**
Chooses up to three nodes of the reporting node's failure domain and one of each
other domain. The order in which the nodes came to be known decides, so that
nodes of one domain mostly join by the same ones.

@param known - The nodes that were heard lately.
@param report - The report of the node that is told.
*/
export function choosePeers(known: readonly KnownNode[], report: NodeReport): readonly string[] {
	const peers: string[] = [];
	const others = new Set<FailureDomain>();
	let own = 0;
	for (const {report: {node, domain, rpcAddress}} of known) {
		if (node === report.node || rpcAddress === '') {
			continue;
		}

		if (domain === report.domain) {
			if (own < ownDomainPeers) {
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
