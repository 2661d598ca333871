/**
Two ways to modify maps and sets: by copying, for configurations that are shared,
and in place, for the configuration that only the state machine holds.
*/

/** Modifies maps (`set` and `delete`) and sets (`add` and `remove`), and returns the modified collection. */
export type CollectionEditor = {
	set<Name, Value>(entries: ReadonlyMap<Name, Value>, name: Name, value: Value): ReadonlyMap<Name, Value>;
	delete<Name, Value>(entries: ReadonlyMap<Name, Value>, name: Name): ReadonlyMap<Name, Value>;
	add<Value>(values: ReadonlySet<Value>, value: Value): ReadonlySet<Value>;
	remove<Value>(values: ReadonlySet<Value>, value: Value): ReadonlySet<Value>;
};

/** Returns modified copies. */
export const copyingEditor: CollectionEditor = {
	set: (entries, name, value) => new Map(entries).set(name, value),
	delete(entries, name) {
		const rest = new Map(entries);
		rest.delete(name);
		return rest;
	},
	add: (values, value) => new Set(values).add(value),
	remove(values, value) {
		const rest = new Set(values);
		rest.delete(value);
		return rest;
	},
};

/** Modifies the given collections, which must be instances of `Map` and `Set`. */
export const inPlaceEditor: CollectionEditor = {
	set: (entries, name, value) => (entries as Map<typeof name, typeof value>).set(name, value),
	delete(entries, name) {
		(entries as Map<typeof name, unknown>).delete(name);
		return entries;
	},
	add: (values, value) => (values as Set<typeof value>).add(value),
	remove(values, value) {
		(values as Set<typeof value>).delete(value);
		return values;
	},
};
