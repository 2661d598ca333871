/**
Turns the rejection of a promise into a value, for tests of failures.
*/

/** Resolves to the reason for which a promise is rejected; `undefined` if it is fulfilled. */
export async function catchError(promise: Promise<unknown>): Promise<unknown> {
	try {
		await promise;
	} catch (error: unknown) {
		return error;
	}

	return undefined;
}
