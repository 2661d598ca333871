/**
Splits a whole amount by weights into whole parts that add up to it exactly.
*/

/** A named recipient of a part, and its weight. */
export type WeightedName<Name extends string> = {
	readonly name: Name;
	readonly weight: number;
};

/**
Splits `amount` by weight with the largest remainder method; among equal
remainders the lower name comes first. All parts are 0 if no weight is above 0.

@example
```ts
splitByWeight(10, [{name: 'a', weight: 1}, {name: 'b', weight: 2}]); // a 3, b 7
```
*/
export function splitByWeight<Name extends string>(amount: number, recipients: ReadonlyArray<WeightedName<Name>>): Map<Name, number> {
	let totalWeight = 0;
	for (const {weight} of recipients) {
		totalWeight += weight;
	}

	const parts = new Map<Name, number>();
	if (totalWeight <= 0) {
		return new Map(recipients.map(({name}) => [name, 0]));
	}

	let undistributed = amount;
	const remainders: Array<{readonly name: Name; readonly remainder: number}> = [];
	for (const {name, weight} of recipients) {
		const exact = amount * weight / totalWeight;
		const part = Math.floor(exact);
		parts.set(name, part);
		undistributed -= part;
		remainders.push({name, remainder: exact - part});
	}

	remainders.sort((first, second) => second.remainder - first.remainder || (first.name < second.name ? -1 : 1));
	for (const {name} of remainders) {
		if (undistributed < 1) {
			break;
		}

		parts.set(name, parts.get(name)! + 1);
		undistributed--;
	}

	return parts;
}
