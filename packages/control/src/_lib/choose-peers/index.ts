/**
Chooses the peers whose addresses a control process sends to a reporting node, so that
the node can join the gossip of the fleet.
*/

import type {FailureDomain} from '@fireflyglade/model';
import type {NodeReport} from '@fireflyglade/transport';
import type {KnownNode} from '../../fleet-registry/index.js';

/** Maximum number of peers from the failure domain of the reporting node. */
const maximumOwnDomainPeers = 3;

/**
Chooses up to three nodes of the reporting node's failure domain and one of each
other domain, those with the lowest ids. Every control process therefore chooses
the same peers, whatever the order in which it received the reports, and nodes that
report to different control processes join one fleet instead of several. Nodes without
a known RPC address are skipped.

@param known - The nodes that reported recently.
@param report - The report of the node that receives the addresses.
@returns RPC addresses of the peers, without that of the reporting node.
*/
export function choosePeers(known: readonly KnownNode[], report: NodeReport): readonly string[] {
	const candidates = known.map(({report: candidate}) => candidate).filter(({node, rpcAddress}) => node !== report.node && rpcAddress !== '');
	candidates.sort((left, right) => left.node < right.node ? -1 : 1);
	const peers: string[] = [];
	const coveredDomains = new Set<FailureDomain>();
	let ownDomainCount = 0;
	for (const {domain, rpcAddress} of candidates) {
		if (domain === report.domain) {
			if (ownDomainCount < maximumOwnDomainPeers) {
				ownDomainCount++;
				peers.push(rpcAddress);
			}
		} else if (!coveredDomains.has(domain)) {
			coveredDomains.add(domain);
			peers.push(rpcAddress);
		}
	}

	return peers;
}
