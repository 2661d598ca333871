import type {IncomingMessage} from 'node:http';
import {expect} from 'chai';
import type {Team} from '@fireflyglade/model';
import {
	createConfiguration, createRoute, redTeam, blueSecret, redSecret, SharedFleet,
} from '../../test-support/index.js';
import {CallerPolicy} from './index.js';

const lookup = createRoute('GET', '/lookup', {priority: 2});
const schedule = createRoute('GET', '/schedule', {priority: 1});
const signoff = createRoute('POST', '/signoff', {priority: 0});

/** Creates a policy in which the teams have the given priorities. */
function createPolicy(priorities: {readonly red?: number; readonly blue?: number}): CallerPolicy {
	const configuration = createConfiguration([lookup, schedule, signoff]);
	const teams = new Map([...configuration.teams].map(([name, team]): [typeof name, Team] => {
		const priority = name === redTeam ? priorities.red : priorities.blue;
		return [name, priority === undefined ? team : {...team, priority}];
	}));
	return new CallerPolicy(new SharedFleet({...configuration, teams}).createNodeView('node-1'));
}

function priorityOf(policy: CallerPolicy, secret: string, route: typeof lookup): number {
	const request = {url: route.path, headers: {authorization: `Bearer ${secret}`}} as unknown as IncomingMessage;
	const terms = policy.decide(request, route, 1000, 0);
	expect(terms.kind).to.equal('granted');
	return terms.kind === 'granted' ? terms.priority : Number.NaN;
}

describe('CallerPolicy', () => {
	it('orders requests by their routes if all teams have the same priority, so that lookups don\'t displace schedules', () => {
		const policy = createPolicy({red: 1, blue: 1});
		expect(priorityOf(policy, redSecret, signoff)).to.be.lessThan(priorityOf(policy, redSecret, schedule));
		expect(priorityOf(policy, redSecret, schedule)).to.be.lessThan(priorityOf(policy, blueSecret, lookup));
		expect(priorityOf(policy, blueSecret, schedule)).to.equal(priorityOf(policy, redSecret, schedule));
	});

	it('orders requests by the priority of the team before that of the route', () => {
		const policy = createPolicy({red: 1, blue: 2});
		expect(priorityOf(policy, redSecret, lookup)).to.be.lessThan(priorityOf(policy, blueSecret, signoff));
	});

	it('uses the route\'s priority for a team without one', () => {
		const policy = createPolicy({red: 1});
		expect(priorityOf(policy, blueSecret, signoff)).to.be.lessThan(priorityOf(policy, redSecret, signoff));
		expect(priorityOf(policy, redSecret, lookup)).to.be.lessThan(priorityOf(policy, blueSecret, lookup));
	});
});
