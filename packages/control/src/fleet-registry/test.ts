import {expect} from 'chai';
import {
	createFailureDomain, createNodeId, createTeamName, type Revision,
} from '@fireflyglade/model';
import type {NodeReport, TeamRequestCounts} from '@fireflyglade/transport';
import {FleetRegistry} from './index.js';

const north = createFailureDomain('north');
const south = createFailureDomain('south');
const second = 1000;

function report(node: string, domain: string, revision: number, teams: readonly TeamRequestCounts[] = []): NodeReport {
	return {
		node: createNodeId(node), domain: createFailureDomain(domain), revision: revision as Revision, rpcAddress: '127.0.0.1:1', callersUrl: '', teams, waitMilliseconds: 0, relayed: [],
	};
}

describe('FleetRegistry', () => {
	it('counts a revision as in force in a domain once all its reporting nodes have it', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 3), 0, true);
		registry.recordReport(report('b', 'north', 2), 0, true);
		expect(registry.revisionProgress(3 as Revision, [], second)).to.deep.equal({inForce: [], pending: [north], cutOff: []});
		registry.recordReport(report('b', 'north', 3), second, true);
		expect(registry.revisionProgress(3 as Revision, [], second)).to.deep.equal({inForce: [north], pending: [], cutOff: []});
	});

	it('counts a configured domain without reporting nodes as cut off', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 1), 0, true);
		expect(registry.revisionProgress(1 as Revision, [north, south], second).cutOff).to.deep.equal([south]);
	});

	it('counts a domain as cut off once its nodes have not reported for some seconds', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 1), 0, true);
		expect(registry.revisionProgress(1 as Revision, [], 10 * second).cutOff).to.deep.equal([north]);
	});

	it('ignores a report that is older than the known one', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 5), 100, true);
		registry.recordReport(report('a', 'north', 4), 50, false);
		expect(registry.nodes()[0]?.report.revision).to.equal(5);
	});

	it('does not list reports that another control process shared as direct reports', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 1), 100, false);
		registry.recordReport(report('b', 'north', 1), 100, true);
		expect(registry.directReportsSince(0).map(known => known.report.node)).to.deep.equal(['b']);
	});

	it('counts nodes that a relay reports for as reporting', () => {
		const registry = new FleetRegistry();
		registry.recordReport({...report('relay', 'north', 2), relayed: [{node: createNodeId('leaf'), revision: 1 as Revision}]}, 0, true);
		expect(registry.revisionProgress(2 as Revision, [], 0).pending).to.deep.equal([north]);
	});

	it('sums the request counts of the reporting nodes', () => {
		const registry = new FleetRegistry();
		const counts: TeamRequestCounts = {
			team: createTeamName('crews'), offered: 5, succeeded: 3, failed: 1, refusedByRate: 1, refusedByLoad: 0,
		};
		registry.recordReport(report('a', 'north', 1, [counts]), 0, true);
		registry.recordReport(report('b', 'south', 1, [counts]), 0, true);
		expect(registry.directTeamRequestCounts(second)[0]?.offered).to.equal(10);
		expect(registry.directTeamRequestCounts(60 * second).length).to.equal(0);
	});

	it('removes a node that has not reported for a long time', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 1), 0, true);
		registry.removeStaleNodes(3600 * second);
		expect(registry.nodes()).to.have.length(0);
	});
});
