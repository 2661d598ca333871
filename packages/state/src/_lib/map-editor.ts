/**
Two ways to change maps and sets: by a copy, for configurations that others hold,
and in place, for the one that the state machine alone holds.
*/

/** Changes maps and sets and gives the changed ones. */
export type MapEditor = {
	set<Name, Value>(entries: ReadonlyMap<Name, Value>, name: Name, value: Value): ReadonlyMap<Name, Value>;
	delete<Name, Value>(entries: ReadonlyMap<Name, Value>, name: Name): ReadonlyMap<Name, Value>;
	add<Value>(values: ReadonlySet<Value>, value: Value): ReadonlySet<Value>;
	remove<Value>(values: ReadonlySet<Value>, value: Value): ReadonlySet<Value>;
};

/** Leaves what it is given as it is. */
export const copyingEditor: MapEditor = {
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

/** Changes what it is given, which must be real maps and sets. */
export const inPlaceEditor: MapEditor = {
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
