import {expect} from 'chai';
import {
	emptyConfiguration, InvalidInputError, type ConfigurationChange, type KeyDigest, type KeyId,
} from '@fireflyglade/model';
import {parseStatement} from '../parse-statement/index.js';
import {toConfigurationChange} from './index.js';

function parseChange(text: string): ConfigurationChange {
	const statement = parseStatement(text);
	if (statement.kind !== 'change') {
		throw new TypeError('expected a change');
	}

	return toConfigurationChange(statement.change, {
		configuration: emptyConfiguration,
		createKey: () => ({id: 'k1' as KeyId, digest: 'aa' as KeyDigest}),
	});
}

describe('toConfigurationChange', () => {
	it('fills in the defaults of settings that a route statement does not name', () => {
		const change = parseChange('create route POST /orders service orders-app priority 1 retries 0');
		expect(change).deep.equal({
			kind: 'create-route',
			route: {
				id: 'POST /orders',
				method: 'POST',
				path: '/orders',
				service: 'orders-app',
				priority: 1,
				idempotent: false,
				open: false,
				retryLimit: 0,
				timeoutMilliseconds: 10_000,
				whenCutOff: 'serve',
			},
		});
	});

	it('changes only the settings that a route statement names', () => {
		expect(parseChange('change route GET /orders timeout 2s')).deep.equal({kind: 'change-route', id: 'GET /orders', change: {timeoutMilliseconds: 2000}});
	});

	it('takes the id and digest of a new key from the context', () => {
		expect(parseChange('issue key for team brook')).deep.equal({
			kind: 'issue-key',
			key: {
				id: 'k1', digest: 'aa', team: 'brook', withdrawn: false,
			},
		});
	});

	for (const text of [
		'create team "a b" rate 1/s burst 1',
		'create route GET /a priority 1',
		'create route GET /a/**/b service s',
		'create route GET /a?b service s',
		'create route GET /a service s priority 10',
		'drain upstream orders-app',
		'withdraw key "a b"',
	]) {
		it(`refuses "${text}"`, () => {
			expect(() => parseChange(text)).throws(InvalidInputError);
		});
	}
});
