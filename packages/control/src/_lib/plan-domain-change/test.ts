import {expect} from 'chai';
import {
	createFailureDomain, createNodeId, type DomainSettings, type FailureDomain, type NodeId,
} from '@fireflyglade/model';
import {planDomainChange, type ObservedNode} from './index.js';

const north = createFailureDomain('north');
const createNodes = (reportAges: Readonly<Record<string, number>>): readonly ObservedNode[] => Object.entries(reportAges)
	.map(([name, millisecondsSinceReport]) => ({node: createNodeId(name), domain: north, millisecondsSinceReport}));
const createDomains = (...names: string[]): ReadonlyMap<FailureDomain, DomainSettings> => new Map([[north, {name: north, weight: 1, witnesses: names as NodeId[]}]]);
const planWitnesses = (nodes: readonly ObservedNode[], domains: ReadonlyMap<FailureDomain, DomainSettings>) => planDomainChange(nodes, domains)?.witnesses;

describe('planDomainChange', () => {
	it('gives a new domain three witnesses, or one if fewer than three nodes are present', () => {
		expect(planDomainChange(createNodes({
			a: 0, b: 0, c: 0, d: 0,
		}), new Map())).to.deep.equal({name: north, weight: 1, witnesses: ['a', 'b', 'c']});
		expect(planWitnesses(createNodes({a: 0, b: 0}), new Map())).to.deep.equal(['a']);
	});

	it('does not change a domain while all its witnesses report', () => {
		expect(planDomainChange(createNodes({
			a: 0, b: 0, c: 9000, d: 0,
		}), createDomains('a', 'b', 'c'))).to.equal(undefined);
	});

	it('replaces a lost witness in two changes: a removal, then an addition', () => {
		const nodes = createNodes({
			a: 0, b: 0, c: 11_000, d: 0,
		});
		expect(planWitnesses(nodes, createDomains('a', 'b', 'c'))).to.deep.equal(['a', 'b']);
		expect(planWitnesses(nodes, createDomains('a', 'b'))).to.deep.equal(['a', 'b', 'd']);
		expect(planWitnesses(nodes, createDomains('a', 'b', 'd'))).to.equal(undefined);
	});

	it('adds a successor before it removes the only witness', () => {
		const nodes = createNodes({a: 11_000, b: 0});
		expect(planWitnesses(nodes, createDomains('a'))).to.deep.equal(['a', 'b']);
		expect(planWitnesses(nodes, createDomains('a', 'b'))).to.deep.equal(['b']);
	});

	it('adds witnesses once three nodes are present', () => {
		const nodes = createNodes({a: 0, b: 0, c: 0});
		expect(planWitnesses(nodes, createDomains('a'))).to.deep.equal(['a', 'b']);
		expect(planWitnesses(nodes, createDomains('a', 'b'))).to.deep.equal(['a', 'b', 'c']);
	});
});
