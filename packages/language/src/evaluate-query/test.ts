import {expect} from 'chai';
import {parseStatement} from '../parse-statement/index.js';
import type {QueryStatement} from '../types.js';
import {evaluateQuery, UnknownColumnError} from './index.js';

const rows = [
	{team: 'brook', refused: 3, goodput: 10},
	{team: 'fell', refused: 0, goodput: 50},
	{team: 'moor', refused: 9, goodput: 30},
	{team: 'tarn', refused: 9},
];

function parseQuery(text: string): QueryStatement {
	const statement = parseStatement(text);
	if (statement.kind !== 'query') {
		throw new TypeError('expected a query');
	}

	return statement.query;
}

function evaluateTeams(text: string): readonly unknown[] {
	return evaluateQuery(parseQuery(text), rows).map(row => row.team);
}

describe('evaluateQuery', () => {
	it('filters, sorts and limits rows', () => {
		expect(evaluateTeams('show teams where refused > 0 order by goodput desc limit 5')).deep.equal(['tarn', 'moor', 'brook']);
		expect(evaluateTeams('show teams order by refused desc, team desc limit 2')).deep.equal(['tarn', 'moor']);
	});

	it('matches a pattern against the whole value, and all characters but "*" literally', () => {
		expect(evaluateTeams('show teams where team like "*r*"')).deep.equal(['brook', 'moor', 'tarn']);
		expect(evaluateTeams('show teams where team like "f.ll"')).deep.equal([]);
	});

	it('matches a row without a value in no comparison but "!="', () => {
		expect(evaluateTeams('show teams where goodput < 100')).deep.equal(['brook', 'fell', 'moor']);
		expect(evaluateTeams('show teams where not goodput < 100')).deep.equal(['tarn']);
		expect(evaluateTeams('show teams where goodput != 10')).deep.equal(['fell', 'moor', 'tarn']);
	});

	it('refuses an unknown column, also without rows', () => {
		expect(() => evaluateQuery(parseQuery('show teams where colour = 1'), rows)).throws(UnknownColumnError);
		expect(() => evaluateQuery(parseQuery('show teams order by colour'), [], {columns: ['team']})).throws(UnknownColumnError);
	});
});
