/**
The load that an upstream states about itself, in a field of its responses and of its
health path. It is a hint: a gate compares it with its own measurements.
*/

/** The load of an upstream at one moment, as the upstream states it. */
export type UpstreamLoad = {
	/** Requests that the upstream is processing. */
	readonly running: number;
	/** Requests that wait inside the upstream. */
	readonly waiting: number;
	/** Requests that the upstream can process concurrently. */
	readonly slots: number;
	/** Factor by which work takes longer than usual on the upstream's machine at present, 1 being usual; absent if the upstream doesn't state it. */
	readonly pace?: number;
};
