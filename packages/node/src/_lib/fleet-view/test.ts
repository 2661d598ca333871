import {expect} from 'chai';
import {
	createFailureDomain, createNodeId, type FencingNumber, type Revision,
} from '@fireflyglade/model';
import type {Fields} from '@fireflyglade/observability';
import {FleetViewLog} from './index.js';

describe('FleetViewLog', () => {
	const north = createFailureDomain('north');
	const south = createFailureDomain('south');
	const holder = {holder: createNodeId('node-1'), fencing: 1 as FencingNumber, revision: 1 as Revision};

	it('logs each change once, including failure domains without a known holder', () => {
		const logged: Array<readonly [string, Fields]> = [];
		const log = new FleetViewLog((event, details) => {
			logged.push([event, details]);
		});
		const alone = {
			members: 1, targets: 0, domains: [north, south], holders: new Map(),
		};
		const joined = {
			members: 3, targets: 2, domains: [north, south], holders: new Map([[south, holder]]),
		};
		log.logIfChanged(alone);
		log.logIfChanged(alone);
		log.logIfChanged(joined);
		log.logIfChanged(joined);
		log.logIfChanged({...joined, targets: 1});
		expect(logged).to.deep.equal([
			['fleet view', {members: 1, targets: 0, holders: 'north=none south=none'}],
			['fleet view', {members: 3, targets: 2, holders: 'north=none south=node-1'}],
			['fleet view', {members: 3, targets: 1, holders: 'north=none south=node-1'}],
		]);
	});
});
