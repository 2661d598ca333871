/**
Formats a statement as text that parses to an equal statement.
*/

import {UnreachableError} from '@fireflyglade/model';
import type {
	ChangeStatement, Filter, QueryStatement, RouteStatementSettings, Statement,
} from '../types.js';

const bareNamePattern = /^\w[\w.-]*$/i;
/** Words that need quotes: `not` is no name, and the others parse as booleans where a value is expected. */
const reservedWords = new Set(['not', 'true', 'false', 'yes', 'no']);

/** Formats a name or a string value, in quotes unless it parses to the same string without them. */
function formatName(name: string): string {
	const isBare = bareNamePattern.test(name) && !reservedWords.has(name.toLowerCase()) && Number.isNaN(Number(name));
	return isBare ? name : `"${name.replaceAll(/["\\]/g, String.raw`\$&`)}"`;
}

function formatNames(names: readonly string[]): string {
	return names.map(name => formatName(name)).join(', ');
}

function formatYesOrNo(value: boolean): string {
	return value ? 'yes' : 'no';
}

/** Formats those settings that have a value. */
function formatPresentSettings(settings: ReadonlyArray<readonly [string, string | undefined]>): string {
	let text = '';
	for (const [name, value] of settings) {
		text += value === undefined ? '' : ` ${name} ${value}`;
	}

	return text;
}

function formatOptional<Value>(value: Value | undefined, format: (value: Value) => string): string | undefined {
	return value === undefined ? undefined : format(value);
}

function formatRouteSettings(settings: RouteStatementSettings): string {
	return formatPresentSettings([
		['service', formatOptional(settings.service, formatName)],
		['priority', formatOptional(settings.priority, String)],
		['idempotent', formatOptional(settings.idempotent, formatYesOrNo)],
		['open', formatOptional(settings.open, formatYesOrNo)],
		['retries', formatOptional(settings.retryLimit, String)],
		['timeout', formatOptional(settings.timeoutMilliseconds, value => `${value}ms`)],
		['when cut off', settings.whenCutOff],
		['teams', formatOptional(settings.teams, formatNames)],
	]);
}

function formatChange(change: ChangeStatement): string {
	switch (change.kind) {
		case 'create-team': {
			return `create team ${formatName(change.name)} rate ${change.ratePerSecond}/s burst ${change.burst}`;
		}

		case 'change-team': {
			return `change team ${formatName(change.name)}${formatPresentSettings([
				['rate', formatOptional(change.ratePerSecond, value => `${value}/s`)],
				['burst', formatOptional(change.burst, String)],
			])}`;
		}

		case 'delete-team': {
			return `delete team ${formatName(change.name)}`;
		}

		case 'issue-key': {
			return `issue key for team ${formatName(change.team)}`;
		}

		case 'withdraw-key': {
			return `withdraw key ${formatName(change.id)}`;
		}

		case 'create-route': {
			return `create route ${change.method} ${change.path}${formatRouteSettings(change.settings)}`;
		}

		case 'change-route': {
			return `change route ${change.method} ${change.path}${formatRouteSettings(change.settings)}`;
		}

		case 'delete-route': {
			return `delete route ${change.method} ${change.path}`;
		}

		case 'drain-upstream': {
			return `drain upstream ${formatName(change.id)}`;
		}

		case 'undrain-upstream': {
			return `undrain upstream ${formatName(change.id)}`;
		}

		case 'set-domain': {
			return `set domain ${formatName(change.name)}${formatPresentSettings([
				['weight', formatOptional(change.weight, String)],
				['witnesses', formatOptional(change.witnesses, formatNames)],
			])}`;
		}

		case 'delete-domain': {
			return `delete domain ${formatName(change.name)}`;
		}

		default: {
			throw new UnreachableError(change);
		}
	}
}

function formatGroup(filter: Filter): string {
	return filter.kind === 'and' || filter.kind === 'or' ? `(${formatFilter(filter)})` : formatFilter(filter);
}

function formatValue(value: string | number | boolean): string {
	return typeof value === 'string' ? formatName(value) : String(value);
}

function formatFilter(filter: Filter): string {
	switch (filter.kind) {
		case 'comparison': {
			const {column, operator, value} = filter.comparison;
			return `${column} ${operator} ${formatValue(value)}`;
		}

		case 'and':
		case 'or': {
			return filter.filters.map(part => formatGroup(part)).join(` ${filter.kind} `);
		}

		case 'not': {
			return `not ${formatGroup(filter.filter)}`;
		}

		default: {
			throw new UnreachableError(filter);
		}
	}
}

function formatQuery(query: QueryStatement): string {
	const order = query.order?.map(({column, descending}) => descending ? `${column} desc` : column).join(', ');
	return `show ${query.subject}${formatPresentSettings([
		['where', formatOptional(query.filter, formatFilter)],
		['order by', order],
		['limit', formatOptional(query.limit, String)],
	])}`;
}

/**
Formats a statement as text that `parseStatement` accepts.

@example
```ts
formatStatement(parseStatement('SHOW teams  LIMIT 5')); // 'show teams limit 5'
```
*/
export function formatStatement(statement: Statement): string {
	switch (statement.kind) {
		case 'change': {
			const condition = statement.expectedRevision === undefined ? '' : ` if revision ${statement.expectedRevision}`;
			return `${formatChange(statement.change)}${condition}`;
		}

		case 'query': {
			return formatQuery(statement.query);
		}

		case 'members': {
			return `${statement.action} member ${formatName(statement.member)}`;
		}

		case 'help': {
			return statement.topic === undefined ? 'help' : `help ${statement.topic}`;
		}

		default: {
			throw new UnreachableError(statement);
		}
	}
}
