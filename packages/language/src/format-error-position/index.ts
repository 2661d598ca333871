/**
Shows the place of an error in a statement, for people.
*/

/**
Prints the line of `text` that holds `position`, with a caret below the character.

@example
```ts
pointAt('show team', 5); // 'show team\n     ^'
```
*/
export function formatErrorPosition(text: string, position: number): string {
	const start = text.lastIndexOf('\n', position - 1) + 1;
	const end = text.indexOf('\n', position);
	const line = text.slice(start, end === -1 ? undefined : end);
	const before = line.slice(0, position - start).replaceAll(/[^\t]/g, ' ');
	return `${line}\n${before}^`;
}
