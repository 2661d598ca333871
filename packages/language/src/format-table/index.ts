/**
Prints rows as a table for people.
*/

import type {CellValue, Row} from '../types.js';

const columnGap = '  ';

function printCell(value: CellValue): string {
	if (value === undefined) {
		return '-';
	}

	if (typeof value === 'boolean') {
		return value ? 'yes' : 'no';
	}

	if (typeof value === 'number') {
		return Number.isInteger(value) ? String(value) : String(Number(value.toFixed(3)));
	}

	// A cell is one line and never sends control sequences to the terminal.
	return value.replaceAll(/[\p{Cc}\p{Cf}]/gu, '?');
}

function isNumeric(column: string, rows: readonly Row[]): boolean {
	return rows.some(row => typeof row[column] === 'number');
}

/**
Prints rows under a line of column names. Numbers stand to the right.

@example
```ts
printRows(['team', 'rate'], [{team: 'brook', rate: 20}]);
```
*/
export function formatTable(columns: readonly string[], rows: readonly Row[]): string {
	const table = columns.map(column => {
		const cells = [column, ...rows.map(row => printCell(row[column]))];
		const width = Math.max(...cells.map(cell => cell.length));
		return cells.map(cell => isNumeric(column, rows) ? cell.padStart(width) : cell.padEnd(width));
	});
	const lines: string[] = [];
	for (let line = 0; line <= rows.length; line += 1) {
		lines.push(table.map(column => column[line]!).join(columnGap).trimEnd());
	}

	return lines.join('\n');
}
