import {expect} from 'chai';
import {
	createFailureDomain, createNodeId, type DomainSettings, type FailureDomain, type NodeId,
} from '@fireflyglade/model';
import {planDomainChange, type ObservedNode} from './index.js';

const north = createFailureDomain('north');
const nodes = (silences: Readonly<Record<string, number>>): readonly ObservedNode[] => Object.entries(silences)
	.map(([name, millisecondsSinceReport]) => ({node: createNodeId(name), domain: north, millisecondsSinceReport}));
const withWitnesses = (...names: string[]): ReadonlyMap<FailureDomain, DomainSettings> => new Map([[north, {name: north, weight: 1, witnesses: names as NodeId[]}]]);
const witnessesAfter = (heard: readonly ObservedNode[], domains: ReadonlyMap<FailureDomain, DomainSettings>) => planDomainChange(heard, domains)?.witnesses;

describe('nextDomainStep', () => {
	it('states a domain with three witnesses, or one where there are fewer nodes', () => {
		expect(planDomainChange(nodes({
			a: 0, b: 0, c: 0, d: 0,
		}), new Map())).to.deep.equal({name: north, weight: 1, witnesses: ['a', 'b', 'c']});
		expect(witnessesAfter(nodes({a: 0, b: 0}), new Map())).to.deep.equal(['a']);
	});

	it('leaves a domain as it is while its witnesses are heard', () => {
		expect(planDomainChange(nodes({
			a: 0, b: 0, c: 9000, d: 0,
		}), withWitnesses('a', 'b', 'c'))).to.equal(undefined);
	});

	it('replaces a lost witness one change at a time', () => {
		const heard = nodes({
			a: 0, b: 0, c: 11_000, d: 0,
		});
		expect(witnessesAfter(heard, withWitnesses('a', 'b', 'c'))).to.deep.equal(['a', 'b']);
		expect(witnessesAfter(heard, withWitnesses('a', 'b'))).to.deep.equal(['a', 'b', 'd']);
		expect(witnessesAfter(heard, withWitnesses('a', 'b', 'd'))).to.equal(undefined);
	});

	it('replaces the only witness without ever naming none', () => {
		const heard = nodes({a: 11_000, b: 0});
		expect(witnessesAfter(heard, withWitnesses('a'))).to.deep.equal(['a', 'b']);
		expect(witnessesAfter(heard, withWitnesses('a', 'b'))).to.deep.equal(['b']);
	});

	it('takes in more witnesses once there are enough nodes', () => {
		const heard = nodes({a: 0, b: 0, c: 0});
		expect(witnessesAfter(heard, withWitnesses('a'))).to.deep.equal(['a', 'b']);
		expect(witnessesAfter(heard, withWitnesses('a', 'b'))).to.deep.equal(['a', 'b', 'c']);
	});
});
