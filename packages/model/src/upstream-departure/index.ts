/**
The departure of an upstream, as its node records it in the replicated log.
*/

/** An upstream that takes no new work. Announcements of the same or of an earlier start are outdated. */
export type UpstreamDeparture = {
	/** `host:port` of the upstream. */
	readonly address: string;
	/** Instance name that the upstream chose at its start. */
	readonly instance: string;
	/** Wall-clock milliseconds of the upstream's start. */
	readonly bornAt: number;
};
