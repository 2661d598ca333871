/**
Weights of observations by their age.
*/

/** Returns 1 up to the age `fresh`, falling linearly to 0 at the age `stale`. */
export function fade(age: number, fresh: number, stale: number): number {
	if (age <= fresh) {
		return 1;
	}

	return age >= stale ? 0 : (stale - age) / (stale - fresh);
}
