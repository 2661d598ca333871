/**
Prints a statement in the form in which it parses again to the same value.
*/

import {UnreachableError} from '@fireflyglade/model';
import type {
	ChangeStatement, Filter, QueryStatement, RouteStatementSettings, Statement,
} from '../types.js';

const bareName = /^\w[\w.-]*$/i;
const wordsWithAnotherMeaning = new Set(['not', 'true', 'false', 'yes', 'no']);

function printName(name: string): string {
	const isBare = bareName.test(name) && !wordsWithAnotherMeaning.has(name.toLowerCase()) && Number.isNaN(Number(name));
	return isBare ? name : `"${name.replaceAll(/["\\]/g, String.raw`\$&`)}"`;
}

function printNames(names: readonly string[]): string {
	return names.map(name => printName(name)).join(', ');
}

function printYesOrNo(value: boolean): string {
	return value ? 'yes' : 'no';
}

/** Prints the words of those settings that are present. */
function printPresent(settings: ReadonlyArray<readonly [string, string | undefined]>): string {
	let text = '';
	for (const [name, value] of settings) {
		text += value === undefined ? '' : ` ${name} ${value}`;
	}

	return text;
}

function printOptional<Value>(value: Value | undefined, print: (value: Value) => string): string | undefined {
	return value === undefined ? undefined : print(value);
}

function printRouteSettings(settings: RouteStatementSettings): string {
	return printPresent([
		['service', printOptional(settings.service, printName)],
		['priority', printOptional(settings.priority, String)],
		['idempotent', printOptional(settings.idempotent, printYesOrNo)],
		['open', printOptional(settings.open, printYesOrNo)],
		['retries', printOptional(settings.retryLimit, String)],
		['timeout', printOptional(settings.timeoutMilliseconds, value => `${value}ms`)],
		['when cut off', settings.whenCutOff],
		['teams', printOptional(settings.teams, printNames)],
	]);
}

function printChange(change: ChangeStatement): string {
	switch (change.kind) {
		case 'create-team': {
			return `create team ${printName(change.name)} rate ${change.ratePerSecond}/s burst ${change.burst}`;
		}

		case 'change-team': {
			return `change team ${printName(change.name)}${printPresent([
				['rate', printOptional(change.ratePerSecond, value => `${value}/s`)],
				['burst', printOptional(change.burst, String)],
			])}`;
		}

		case 'delete-team': {
			return `delete team ${printName(change.name)}`;
		}

		case 'issue-key': {
			return `issue key for team ${printName(change.team)}`;
		}

		case 'withdraw-key': {
			return `withdraw key ${printName(change.id)}`;
		}

		case 'create-route': {
			return `create route ${change.method} ${change.path}${printRouteSettings(change.settings)}`;
		}

		case 'change-route': {
			return `change route ${change.method} ${change.path}${printRouteSettings(change.settings)}`;
		}

		case 'delete-route': {
			return `delete route ${change.method} ${change.path}`;
		}

		case 'drain-upstream': {
			return `drain upstream ${printName(change.id)}`;
		}

		case 'undrain-upstream': {
			return `undrain upstream ${printName(change.id)}`;
		}

		case 'set-domain': {
			return `set domain ${printName(change.name)}${printPresent([
				['weight', printOptional(change.weight, String)],
				['witnesses', printOptional(change.witnesses, printNames)],
			])}`;
		}

		case 'delete-domain': {
			return `delete domain ${printName(change.name)}`;
		}

		default: {
			throw new UnreachableError(change);
		}
	}
}

function printGroup(filter: Filter): string {
	return filter.kind === 'and' || filter.kind === 'or' ? `(${printFilter(filter)})` : printFilter(filter);
}

function printValue(value: string | number | boolean): string {
	return typeof value === 'string' ? printName(value) : String(value);
}

function printFilter(filter: Filter): string {
	switch (filter.kind) {
		case 'comparison': {
			const {column, operator, value} = filter.comparison;
			return `${column} ${operator} ${printValue(value)}`;
		}

		case 'and':
		case 'or': {
			return filter.filters.map(part => printGroup(part)).join(` ${filter.kind} `);
		}

		case 'not': {
			return `not ${printGroup(filter.filter)}`;
		}

		default: {
			throw new UnreachableError(filter);
		}
	}
}

function printQuery(query: QueryStatement): string {
	const order = query.order?.map(({column, descending}) => descending ? `${column} desc` : column).join(', ');
	return `show ${query.subject}${printPresent([
		['where', printOptional(query.filter, printFilter)],
		['order by', order],
		['limit', printOptional(query.limit, String)],
	])}`;
}

/**
Prints a statement.

@example
```ts
printStatement(parseStatement('SHOW teams  LIMIT 5')); // 'show teams limit 5'
```
*/
export function formatStatement(statement: Statement): string {
	switch (statement.kind) {
		case 'change': {
			const condition = statement.expectedRevision === undefined ? '' : ` if revision ${statement.expectedRevision}`;
			return `${printChange(statement.change)}${condition}`;
		}

		case 'query': {
			return printQuery(statement.query);
		}

		case 'members': {
			return `${statement.action} member ${printName(statement.member)}`;
		}

		case 'help': {
			return statement.topic === undefined ? 'help' : `help ${statement.topic}`;
		}

		default: {
			throw new UnreachableError(statement);
		}
	}
}
