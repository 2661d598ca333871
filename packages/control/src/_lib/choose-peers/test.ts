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

function toKnownNodes(reports: readonly NodeReport[]): KnownNode[] {
	return reports.map(report => ({
		report, lastReportAt: 0, lastFullReportAt: 0, isDirect: true,
	}));
}

/** Counts the nodes that are connected with the first one if each node and its peers learn of each other. */
function countConnectedNodes(peersByAddress: ReadonlyMap<string, readonly string[]>): number {
	const [first] = peersByAddress.keys();
	const connected = new Set([first!]);
	for (let before = 0; before < connected.size;) {
		before = connected.size;
		for (const [address, peers] of peersByAddress) {
			const group = [address, ...peers];
			if (group.some(member => connected.has(member))) {
				for (const member of group) {
					connected.add(member);
				}
			}
		}
	}

	return connected.size;
}

describe('choosePeers', () => {
	const reports = Array.from({length: 86}, (_, index) => createReport(index));

	it('connects all nodes into one fleet although each control process received the reports in another order', () => {
		const random = new SeededRandom(5);
		const controlByNode = reports.map(() => random.nextInteger(3));
		const registries = [0, 1, 2].map(control => toKnownNodes([
			...reports.filter((_, index) => controlByNode[index] === control),
			...reports.filter((_, index) => controlByNode[index] !== control),
		]));
		const peers = new Map(reports.map((report, index) => [report.rpcAddress, choosePeers(registries[controlByNode[index]!]!, report)]));
		expect(countConnectedNodes(peers)).to.equal(reports.length);
	});

	it('chooses up to three nodes of the same domain and one of each other domain, never the node itself', () => {
		for (const report of reports.slice(0, 12)) {
			const peers = choosePeers(toKnownNodes(reports), report);
			expect(peers).to.have.length(5);
			expect(peers).not.to.include(report.rpcAddress);
			expect(peers.filter(address => address.includes(report.domain))).to.have.length(3);
		}

		expect(choosePeers(toKnownNodes(reports.slice(0, 1)), reports[0]!)).to.deep.equal([]);
	});
});
