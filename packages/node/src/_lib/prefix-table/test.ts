import {expect} from 'chai';
import {createServiceName, type Route, type RouteId} from '@fireflyglade/model';
import {PrefixTable} from './index.js';

const createRoute = (host: string, path: string): Route => ({
	id: `${host}${path}` as RouteId,
	method: '*',
	path,
	prefix: {host, path},
	service: createServiceName('orders'),
	priority: 0,
	idempotent: true,
	open: false,
	retryLimit: 1,
	timeoutMilliseconds: 1000,
	whenCutOff: 'serve',
});

describe('PrefixTable', () => {
	const table = new PrefixTable([createRoute('a.example', '/one/'), createRoute('a.example', '/one/two/'), createRoute('b.example', '/')]);
	const find = (host: string, target: string) => table.findRoute(host, target)?.id;

	it('finds the longest prefix of the host', () => {
		expect(find('a.example', '/one/x')).to.equal('a.example/one/');
		expect(find('a.example', '/one/two/x')).to.equal('a.example/one/two/');
		expect(find('a.example', '/one/two')).to.equal('a.example/one/');
		expect(find('a.example', '/one/')).to.equal('a.example/one/');
	});

	it('matches prefixes only at the boundaries of path segments', () => {
		expect(find('a.example', '/onetwo/x')).to.equal(undefined);
		expect(find('a.example', '/one')).to.equal(undefined);
	});

	it('distinguishes hosts and ignores port and letter case', () => {
		expect(find('b.example', '/one/x')).to.equal('b.example/');
		expect(find('A.example:8080', '/one/x')).to.equal('a.example/one/');
		expect(find('c.example', '/one/x')).to.equal(undefined);
	});

	it('ignores the query', () => {
		expect(find('a.example', '/three?x=/one/')).to.equal(undefined);
		expect(find('a.example', '/one/x?y=/one/two/')).to.equal('a.example/one/');
	});
});
