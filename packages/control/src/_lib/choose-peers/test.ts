import {expect} from 'chai';
import {
	createFailureDomain, createNodeId, SeededRandom, type Revision,
} from '@fireflyglade/model';
import type {NodeReport} from '@fireflyglade/transport';
import type {KnownNode} from '../../fleet-registry/index.js';
import {choosePeers} from './index.js';

const domains = ['north-a', 'north-b', 'north-c'].map(name => createFailureDomain(name));

function createReport(index: number): NodeReport {
	const domain = domains[index % domains.length]!;
	const node = createNodeId(`node-${domain}-${index}`);
	return {
		node, domain, rpcAddress: `${node}:1`, callersUrl: '', revision: 0 as Revision, teams: [], relayed: [], waitMilliseconds: 0,
	};
}

function knownInOrder(reports: readonly NodeReport[]): KnownNode[] {
	return reports.map(report => ({report, lastReportAt: 0, isDirect: true}));
}

/** Nodes that are reached from the first one where each node and its peers come to know each other. */
function countJoined(peersByAddress: ReadonlyMap<string, readonly string[]>): number {
	const [first] = peersByAddress.keys();
	const joined = new Set([first!]);
	for (let before = 0; before < joined.size;) {
		before = joined.size;
		for (const [address, peers] of peersByAddress) {
			const group = [address, ...peers];
			if (group.some(member => joined.has(member))) {
				for (const member of group) {
					joined.add(member);
				}
			}
		}
	}

	return joined.size;
}

describe('choosePeers', () => {
	const reports = Array.from({length: 86}, (_, index) => createReport(index));

	it('does not split a fleet into one for each control process, each of which heard other nodes first', () => {
		const random = new SeededRandom(5);
		const controlOf = reports.map(() => random.nextInteger(3));
		const registries = [0, 1, 2].map(control => knownInOrder([
			...reports.filter((_, index) => controlOf[index] === control),
			...reports.filter((_, index) => controlOf[index] !== control),
		]));
		const peers = new Map(reports.map((report, index) => [report.rpcAddress, choosePeers(registries[controlOf[index]!]!, report)]));
		expect(countJoined(peers)).to.equal(reports.length);
	});

	it('names up to three nodes of the own domain and one of each other, never the node itself', () => {
		for (const report of reports.slice(0, 12)) {
			const peers = choosePeers(knownInOrder(reports), report);
			expect(peers).to.have.length(5);
			expect(peers).not.to.include(report.rpcAddress);
			expect(peers.filter(address => address.includes(report.domain))).to.have.length(3);
		}

		expect(choosePeers(knownInOrder(reports.slice(0, 1)), reports[0]!)).to.deep.equal([]);
	});
});
