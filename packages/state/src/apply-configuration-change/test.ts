import {expect} from 'chai';
import {
	createFailureDomain, createNodeId, createRouteId, createServiceName, createTeamName, emptyConfiguration,
	type Configuration, type ConfigurationChange, type KeyDigest, type KeyId, type Revision, type Route,
} from '@fireflyglade/model';
import {applyConfigurationChange} from './index.js';

const north = createTeamName('north');
const key = {
	id: 'key-1' as KeyId, team: north, digest: 'ab'.repeat(32) as KeyDigest, withdrawn: false,
};

function route(fields: Partial<Route> = {}): Route {
	const method = fields.method ?? 'POST';
	const path = fields.path ?? '/orders/:id';
	return {
		id: createRouteId(method, path),
		method,
		path,
		service: createServiceName('orders-app'),
		priority: 1,
		idempotent: false,
		open: false,
		retryLimit: 0,
		timeoutMilliseconds: 1000,
		whenCutOff: 'serve',
		...fields,
	};
}

function domain(...witnesses: string[]): ConfigurationChange {
	return {kind: 'set-domain', domain: {name: createFailureDomain('lima'), weight: 1, witnesses: witnesses.map(witness => createNodeId(witness))}};
}

function configure(...changes: ConfigurationChange[]): Configuration {
	let configuration = emptyConfiguration;
	for (const change of changes) {
		const result = applyConfigurationChange(configuration, change, (configuration.revision + 1) as Revision);
		if (result.kind === 'refused') {
			throw new TypeError(JSON.stringify(result.refusal));
		}

		configuration = result.configuration;
	}

	return configuration;
}

function refusalOf(configuration: Configuration, change: ConfigurationChange): string {
	const result = applyConfigurationChange(configuration, change, 99 as Revision);
	return result.kind === 'refused' ? result.refusal.kind : 'changed';
}

const withTeam = configure({kind: 'create-team', team: {name: north, ratePerSecond: 20, burst: 10}});

describe('applyConfigurationChange', () => {
	it('does not modify the given configuration', () => {
		const before = structuredClone(withTeam);
		applyConfigurationChange(withTeam, {kind: 'delete-team', name: north}, 2 as Revision);
		expect(withTeam).to.deep.equal(before);
	});

	it('deletes a team and its keys', () => {
		const configuration = configure(
			{kind: 'create-team', team: {name: north, ratePerSecond: 20, burst: 10}},
			{kind: 'issue-key', key},
			{kind: 'delete-team', name: north},
		);
		expect([configuration.teams.size, configuration.keys.size]).to.deep.equal([0, 0]);
	});

	it('changes only the given fields of a route, and removes its list of teams if the change sets it to undefined', () => {
		const first = route({teams: [north]});
		const configuration = configure(
			{kind: 'create-team', team: {name: north, ratePerSecond: 20, burst: 10}},
			{kind: 'create-route', route: first},
			{kind: 'change-route', id: first.id, change: {priority: 3}},
			{kind: 'change-route', id: first.id, change: {teams: undefined}},
		);
		expect(configuration.routes.get(first.id)).to.deep.equal({...first, priority: 3, teams: undefined});
	});

	it('accepts a change of one witness of a failure domain, but not of two', () => {
		const configuration = configure(domain('a', 'b', 'c'));
		expect(refusalOf(configuration, domain('a', 'b', 'd'))).to.equal('invalid');
		expect(refusalOf(configuration, domain('a', 'b', 'c', 'd'))).to.equal('changed');
	});

	const withRoute = configure(
		{kind: 'create-team', team: {name: north, ratePerSecond: 20, burst: 10}},
		{kind: 'issue-key', key},
		{kind: 'create-route', route: route({teams: [north]})},
	);
	const refusals: ReadonlyArray<readonly [string, ConfigurationChange, string]> = [
		['a team whose name is in use', {kind: 'create-team', team: {name: north, ratePerSecond: 1, burst: 1}}, 'already-exists'],
		['a rate of 0', {kind: 'change-team', name: north, ratePerSecond: 0}, 'invalid'],
		['a rate that is not a number', {kind: 'change-team', name: north, ratePerSecond: Number.NaN}, 'invalid'],
		['a change to an unknown team', {kind: 'change-team', name: createTeamName('x'), burst: 2}, 'not-found'],
		['the deletion of a team that a route names', {kind: 'delete-team', name: north}, 'invalid'],
		['a key for an unknown team', {kind: 'issue-key', key: {...key, id: 'key-2' as KeyId, team: createTeamName('x')}}, 'not-found'],
		['a second key with the same digest', {kind: 'issue-key', key: {...key, id: 'key-2' as KeyId}}, 'already-exists'],
		['a key with an invalid digest', {kind: 'issue-key', key: {...key, id: 'key-2' as KeyId, digest: 'x' as KeyDigest}}, 'invalid'],
		['the withdrawal of an unknown key', {kind: 'withdraw-key', id: 'key-9' as KeyId}, 'not-found'],
		['a route that matches the same paths as another route', {kind: 'create-route', route: route({path: '/orders/:number'})}, 'already-exists'],
		['a route with "**" before the end of its path', {kind: 'create-route', route: route({path: '/a/**/b'})}, 'invalid'],
		['a route whose team does not exist', {kind: 'create-route', route: route({path: '/a', teams: [createTeamName('x')]})}, 'invalid'],
		['an open route with teams', {kind: 'create-route', route: route({path: '/a', open: true, teams: [north]})}, 'invalid'],
		['a priority of 10', {kind: 'change-route', id: route().id, change: {priority: 10}}, 'invalid'],
		['a timeout of 0', {kind: 'change-route', id: route().id, change: {timeoutMilliseconds: 0}}, 'invalid'],
		['undraining an upstream that is not drained', {kind: 'undrain-upstream', id: 'orders-app.node-1' as never}, 'not-found'],
	];
	for (const [description, change, kind] of refusals) {
		it(`refuses ${description}`, () => {
			expect(refusalOf(withRoute, change)).to.equal(kind);
		});
	}
});
