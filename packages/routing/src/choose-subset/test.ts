import {createFailureDomain, createNodeId, type UpstreamId} from '@fireflyglade/model';
import {expect} from 'chai';
import {createTargets} from '../test-support/targets/index.js';
import {chooseSubset} from './index.js';

const domain = createFailureDomain('here');

describe('chooseSubset', () => {
	it('distributes the nodes evenly over the targets', () => {
		const targets = createTargets(36);
		const counts = new Map<UpstreamId, number>();
		for (let index = 0; index < 5800; index++) {
			for (const target of chooseSubset(targets, {node: createNodeId(`caller-${index}`), domain})) {
				counts.set(target.upstream, (counts.get(target.upstream) ?? 0) + 1);
			}
		}

		const mean = 5800 * 16 / 36;
		expect(counts.size).to.equal(36);
		expect(Math.min(...counts.values()) / mean).to.be.at.least(0.9);
		expect(Math.max(...counts.values()) / mean).to.be.at.most(1.1);
	});

	it('uses a fixed number of targets from the own failure domain and from others', () => {
		const subset = chooseSubset([...createTargets(100, 'there', 500), ...createTargets(100)], {node: createNodeId('caller'), domain});
		expect(subset.filter(target => target.domain === domain)).to.have.length(16);
		expect(subset).to.have.length(24);
	});

	it('changes one entry when a target of the subset is removed', () => {
		const targets = createTargets(100);
		const options = {node: createNodeId('caller'), domain};
		const before = chooseSubset(targets, options);
		const after = chooseSubset(targets.filter(target => target !== before[3]), options);
		expect(after.filter(target => before.includes(target))).to.have.length(15);
		expect(after).to.have.length(16);
	});
});
