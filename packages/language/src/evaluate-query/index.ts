/**
Evaluates a query over rows: filters them, sorts them, then applies the limit.
*/

import {FireflygladeError, UnreachableError} from '@fireflyglade/model';
import type {
	CellValue, Comparison, Filter, QueryStatement, Row,
} from '../types.js';

/** Thrown if a query names a column that its subject doesn't have. */
export class UnknownColumnError extends FireflygladeError {
	get code(): 'unknown-column' {
		return 'unknown-column';
	}

	constructor(column: string, columns: readonly string[]) {
		super(`there is no column ${JSON.stringify(column)}; the columns are ${columns.join(', ')}`);
	}
}

/** Options of a query's evaluation. */
export type EvaluateQueryOptions = {
	/** The columns that the query may name; those of the rows if absent. */
	readonly columns?: readonly string[];
};

function collectColumns(filter: Filter): readonly string[] {
	switch (filter.kind) {
		case 'comparison': {
			return [filter.comparison.column];
		}

		case 'and':
		case 'or': {
			return filter.filters.flatMap(part => collectColumns(part));
		}

		case 'not': {
			return collectColumns(filter.filter);
		}

		default: {
			throw new UnreachableError(filter);
		}
	}
}

function checkColumns(query: QueryStatement, columns: readonly string[]): void {
	const referencedColumns = [
		...(query.filter === undefined ? [] : collectColumns(query.filter)),
		...(query.order ?? []).map(part => part.column),
	];
	for (const column of referencedColumns) {
		if (!columns.includes(column)) {
			throw new UnknownColumnError(column, columns);
		}
	}
}

/** Compares two cells in ascending order; a cell without a value sorts after all others, and so comes first in descending order. */
function compareCells(left: CellValue, right: CellValue): number {
	if (left === undefined || right === undefined) {
		return Number(left === undefined) - Number(right === undefined);
	}

	if (typeof left === 'string' || typeof right === 'string') {
		const leftText = String(left);
		const rightText = String(right);
		return leftText < rightText ? -1 : Number(leftText > rightText);
	}

	return Number(left) - Number(right);
}

function matchesPattern(cell: CellValue, pattern: string): boolean {
	const parts = pattern.split('*').map(part => part.replaceAll(/[$()*+.?[\\\]^{|}]/g, String.raw`\$&`));
	return new RegExp(`^${parts.join('.*')}$`, 's').test(String(cell ?? ''));
}

function matchesComparison({column, operator, value}: Comparison, row: Row): boolean {
	const cell = row[column];
	if (cell === undefined) {
		return operator === '!=';
	}

	switch (operator) {
		case '=': {
			return compareCells(cell, value) === 0;
		}

		case '!=': {
			return compareCells(cell, value) !== 0;
		}

		case '<': {
			return compareCells(cell, value) < 0;
		}

		case '<=': {
			return compareCells(cell, value) <= 0;
		}

		case '>': {
			return compareCells(cell, value) > 0;
		}

		case '>=': {
			return compareCells(cell, value) >= 0;
		}

		case 'like': {
			return matchesPattern(cell, String(value));
		}

		default: {
			throw new UnreachableError(operator);
		}
	}
}

function matchesFilter(filter: Filter, row: Row): boolean {
	switch (filter.kind) {
		case 'comparison': {
			return matchesComparison(filter.comparison, row);
		}

		case 'and': {
			return filter.filters.every(part => matchesFilter(part, row));
		}

		case 'or': {
			return filter.filters.some(part => matchesFilter(part, row));
		}

		case 'not': {
			return !matchesFilter(filter.filter, row);
		}

		default: {
			throw new UnreachableError(filter);
		}
	}
}

function compareRows(query: QueryStatement, left: Row, right: Row): number {
	for (const {column, descending} of query.order ?? []) {
		const difference = compareCells(left[column], right[column]);
		if (difference !== 0) {
			return descending ? -difference : difference;
		}
	}

	return 0;
}

/**
Returns the rows that a query selects, in its order and up to its limit.

@throws {UnknownColumnError} The query names a column that doesn't exist.
*/
export function evaluateQuery(query: QueryStatement, rows: readonly Row[], options: EvaluateQueryOptions = {}): readonly Row[] {
	const columns = options.columns ?? [...new Set(rows.flatMap(row => Object.keys(row)))];
	if (options.columns !== undefined || rows.length > 0) {
		checkColumns(query, columns);
	}

	const {filter, limit} = query;
	const matchingRows = filter === undefined ? [...rows] : rows.filter(row => matchesFilter(filter, row));
	matchingRows.sort((left, right) => compareRows(query, left, right));
	return limit === undefined ? matchingRows : matchingRows.slice(0, limit);
}
