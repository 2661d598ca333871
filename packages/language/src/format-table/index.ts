/**
Formats rows as a plain-text table.
*/

import type {CellValue, Row} from '../types.js';

const columnSeparator = '  ';

function formatCell(value: CellValue): string {
	if (value === undefined) {
		return '-';
	}

	if (typeof value === 'boolean') {
		return value ? 'yes' : 'no';
	}

	if (typeof value === 'number') {
		return Number.isInteger(value) ? String(value) : String(Number(value.toFixed(3)));
	}

	// Control characters could break the line or send control sequences to the terminal.
	return value.replaceAll(/[\p{Cc}\p{Cf}]/gu, '?');
}

function isNumeric(column: string, rows: readonly Row[]): boolean {
	return rows.some(row => typeof row[column] === 'number');
}

/**
Formats rows under a header line of column names. Columns with numbers are aligned to the right.

@example
```ts
formatTable(['team', 'rate'], [{team: 'brook', rate: 20}]);
```
*/
export function formatTable(columns: readonly string[], rows: readonly Row[]): string {
	const table = columns.map(column => {
		const cells = [column, ...rows.map(row => formatCell(row[column]))];
		const width = Math.max(...cells.map(cell => cell.length));
		return cells.map(cell => isNumeric(column, rows) ? cell.padStart(width) : cell.padEnd(width));
	});
	const lines: string[] = [];
	for (let line = 0; line <= rows.length; line += 1) {
		lines.push(table.map(column => column[line]!).join(columnSeparator).trimEnd());
	}

	return lines.join('\n');
}
