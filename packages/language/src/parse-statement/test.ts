import {expect} from 'chai';
import fc from 'fast-check';
import {type Revision} from '@fireflyglade/model';
import {formatStatement} from '../format-statement/index.js';
import {StatementSyntaxError} from '../statement-syntax-error/index.js';
import type {Filter, Statement} from '../types.js';
import {parseStatement} from './index.js';

const seed = 7;

const statements = [
	'create team brook rate 20/s burst 10',
	'change team brook rate 50/s',
	'change team brook burst 5 rate 600/min if revision 7',
	'delete team brook',
	'issue key for team brook',
	'withdraw key k-12ab if revision 3',
	'show keys where team = "brook"',
	'create route POST /orders service orders-app priority 1 idempotent no retries 0',
	'create route GET /orders/:id/** service orders-app open yes timeout 500ms when cut off refuse teams a, b',
	'change route GET /orders timeout 2s',
	'delete route GET /orders',
	'drain upstream orders-app.node-1',
	'undrain upstream orders-app.node-1',
	'set domain north weight 1 witnesses n1, n2, n3',
	'delete domain north',
	'show teams where refused > 0 and (team like "b*" or not rate <= 5) order by goodput desc, team limit 5',
	'add member control-4',
	'remove member control-1',
	'show history',
	'show revision',
	'help',
	'help routes',
];

function failureOf(text: string): StatementSyntaxError | undefined {
	try {
		parseStatement(text);
		return undefined;
	} catch (error) {
		expect(error).instanceOf(StatementSyntaxError);
		return error as StatementSyntaxError;
	}
}

const name = fc.stringMatching(/^[\dA-Za-z][\w.-]{0,20}$/);
const anyText = fc.string({unit: 'grapheme-ascii', maxLength: 12});
const count = fc.nat();
const rate = fc.double({min: 0, max: 1e9, noNaN: true}).map(value => value + 0);
const path = fc.stringMatching(/^\/[\w:/.-]{0,20}$/);
const method = fc.constantFrom('GET', 'POST', 'DELETE');
const names = fc.array(name, {minLength: 1, maxLength: 4});

const routeSettings = fc.record({
	service: name,
	priority: fc.nat(9),
	idempotent: fc.boolean(),
	open: fc.boolean(),
	retryLimit: fc.nat(9),
	timeoutMilliseconds: fc.integer({min: 1, max: 1_000_000}),
	whenCutOff: fc.constantFrom('serve' as const, 'refuse' as const),
	teams: names,
}, {requiredKeys: ['service']});

const change = fc.oneof(
	fc.record({
		kind: fc.constant('create-team' as const), name, ratePerSecond: rate, burst: count,
	}),
	fc.record({kind: fc.constant('change-team' as const), name, ratePerSecond: rate}),
	fc.record({kind: fc.constant('issue-key' as const), team: name}),
	fc.record({kind: fc.constant('withdraw-key' as const), id: name}),
	fc.record({
		kind: fc.constantFrom('create-route' as const, 'change-route' as const), method, path, settings: routeSettings,
	}),
	fc.record({kind: fc.constant('delete-route' as const), method, path}),
	fc.record({kind: fc.constantFrom('drain-upstream' as const, 'undrain-upstream' as const), id: name}),
	fc.record({
		kind: fc.constant('set-domain' as const), name, weight: rate, witnesses: names,
	}),
);

const {filter} = fc.letrec<{filter: Filter}>(tie => ({
	filter: fc.oneof(
		{maxDepth: 3},
		fc.record({
			kind: fc.constant('comparison' as const),
			comparison: fc.record({
				column: fc.constantFrom('team', 'rate', 'order', 'limit'),
				operator: fc.constantFrom('=' as const, '!=' as const, '<=' as const, 'like' as const),
				value: fc.oneof(anyText, rate, fc.boolean()),
			}),
		}),
		fc.record({kind: fc.constantFrom('and' as const, 'or' as const), filters: fc.array(tie('filter'), {minLength: 2, maxLength: 3})}),
		fc.record({kind: fc.constant('not' as const), filter: tie('filter')}),
	),
}));

const anyStatement: fc.Arbitrary<Statement> = fc.oneof(
	fc.record({kind: fc.constant('members' as const), action: fc.constantFrom('add' as const, 'remove' as const), member: name}),
	fc.record({kind: fc.constant('change' as const), change, expectedRevision: count.map(value => value as Revision)}, {requiredKeys: ['kind', 'change']}),
	fc.record({
		kind: fc.constant('query' as const),
		query: fc.record({
			kind: fc.constant('show' as const),
			subject: fc.constantFrom('teams' as const, 'history' as const),
			filter,
			order: fc.array(fc.record({column: fc.constantFrom('team', 'rate'), descending: fc.boolean()}), {minLength: 1, maxLength: 2}),
			limit: count,
		}, {requiredKeys: ['kind', 'subject']}),
	}),
);

describe('parseStatement', () => {
	for (const text of statements) {
		it(`parses "${text}" and prints it to the same statement`, () => {
			const statement = parseStatement(text);
			expect(parseStatement(formatStatement(statement))).deep.equal(statement);
		});
	}

	it('reads rates per second, minute and hour in requests a second', () => {
		const rates = ['20/s', '600/min', '7200/h'].map(text => {
			const statement = parseStatement(`create team a rate ${text} burst 1`);
			return statement.kind === 'change' && statement.change.kind === 'create-team' ? statement.change.ratePerSecond : undefined;
		});
		expect(rates).deep.equal([20, 10, 2]);
	});

	it('takes a keyword as the name of a team', () => {
		expect(parseStatement('delete team team')).deep.equal({kind: 'change', change: {kind: 'delete-team', name: 'team'}});
	});

	it('binds "and" closer than "or"', () => {
		const statement = parseStatement('show teams where a = 1 or b = 2 and c = 3');
		expect(statement.kind === 'query' && statement.query.filter?.kind === 'or' && statement.query.filter.filters.map(part => part.kind))
			.deep.equal(['comparison', 'and']);
	});

	it('points at the first wrong character', () => {
		expect(failureOf('create tem brook rate 20/s burst 10')?.position).equal(7);
		expect(failureOf('create team brook rate 20 burst 10')?.position).equal(23);
		expect(failureOf('create team brook rate 20/s rate 30/s')?.position).equal(28);
		expect(failureOf('create route FETCH /a service b')?.position).equal(13);
		expect(failureOf('show teams limit 2.5')?.position).equal(17);
		expect(failureOf('show teams where team = "a')?.position).equal(24);
	});

	it('refuses a setting that is named twice', () => {
		expect(failureOf('change team brook burst 5 burst 6')?.message).equal('"burst" is named twice');
	});

	it('fails only with a syntax error inside the text, wherever a statement is cut off', () => {
		for (const text of statements) {
			for (let length = 0; length < text.length; length += 1) {
				const failure = failureOf(text.slice(0, length));
				expect(failure?.position ?? 0).within(0, length);
			}
		}
	});

	it('fails only with a syntax error inside the text, whatever the text', () => {
		const words = fc.array(fc.oneof(fc.constantFrom(...statements.flatMap(text => text.split(' '))), anyText), {maxLength: 12});
		fc.assert(fc.property(fc.oneof(fc.string({unit: 'binary'}), words.map(parts => parts.join(' '))), text => {
			const failure = failureOf(text);
			expect(failure?.position ?? 0).within(0, text.length);
		}), {seed, numRuns: 2000});
	});

	it('prints any statement so that it parses to the same value', () => {
		fc.assert(fc.property(anyStatement, statement => {
			expect(parseStatement(formatStatement(statement))).deep.equal(statement);
		}), {seed, numRuns: 1000});
	});
});
