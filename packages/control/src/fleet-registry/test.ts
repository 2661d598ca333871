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
	it('counts a domain as in force once every node heard there has the revision', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 3), 0, true);
		registry.recordReport(report('b', 'north', 2), 0, true);
		expect(registry.revisionProgress(3 as Revision, [], second)).to.deep.equal({inForce: [], pending: [north], cutOff: []});
		registry.recordReport(report('b', 'north', 3), second, true);
		expect(registry.revisionProgress(3 as Revision, [], second)).to.deep.equal({inForce: [north], pending: [], cutOff: []});
	});

	it('names a configured domain from which nothing is heard as cut off', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 1), 0, true);
		expect(registry.revisionProgress(1 as Revision, [north, south], second).cutOff).to.deep.equal([south]);
	});

	it('names a domain as cut off once its nodes have been silent for some seconds', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 1), 0, true);
		expect(registry.revisionProgress(1 as Revision, [], 10 * second).cutOff).to.deep.equal([north]);
	});

	it('passes over an older report than the one it has', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 5), 100, true);
		registry.recordReport(report('a', 'north', 4), 50, false);
		expect(registry.nodes()[0]?.report.revision).to.equal(5);
	});

	it('does not pass on what another control process passed on to it', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 1), 100, false);
		registry.recordReport(report('b', 'north', 1), 100, true);
		expect(registry.directReportsSince(0).map(known => known.report.node)).to.deep.equal(['b']);
	});

	it('takes the nodes for which a relay speaks as heard', () => {
		const registry = new FleetRegistry();
		registry.recordReport({...report('relay', 'north', 2), relayed: [{node: createNodeId('leaf'), revision: 1 as Revision}]}, 0, true);
		expect(registry.revisionProgress(2 as Revision, [], 0).pending).to.deep.equal([north]);
	});

	it('adds up the figures of the nodes that are heard', () => {
		const registry = new FleetRegistry();
		const figures: TeamRequestCounts = {
			team: createTeamName('crews'), offered: 5, succeeded: 3, failed: 1, refusedByRate: 1, refusedByLoad: 0,
		};
		registry.recordReport(report('a', 'north', 1, [figures]), 0, true);
		registry.recordReport(report('b', 'south', 1, [figures]), 0, true);
		expect(registry.teamFigures(second).get(figures.team)?.offered).to.equal(10);
		expect(registry.teamFigures(60 * second).size).to.equal(0);
	});

	it('forgets a node that has been silent for long', () => {
		const registry = new FleetRegistry();
		registry.recordReport(report('a', 'north', 1), 0, true);
		registry.removeStaleNodes(3600 * second);
		expect(registry.nodes()).to.have.length(0);
	});
});
