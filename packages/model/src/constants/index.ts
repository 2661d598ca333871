/**
Constants that several packages share, each with its unit in its name.
*/

/** Milliseconds in a second. */
export const millisecondsInSecond = 1000;
/** Bytes in a kibibyte. */
export const bytesInKibibyte = 1024;
/** Bytes in a mebibyte. */
export const bytesInMebibyte = 1_048_576;
/** Milliseconds of silence after which an upstream gets no new work. */
export const announcementTimeoutMilliseconds = 3000;
/** Milliseconds between two announcements of an upstream. */
export const announcementIntervalMilliseconds = 1000;
/** Milliseconds that a key stays fresh without word from a quorum or from most failure domains. */
export const keyFreshnessMilliseconds = 5000;
/** The most important priority; smaller numbers are more important. */
export const highestPriority = 0;
/** The least important priority that a route or a team may have. */
export const lowestRoutePriority = 9;
/** The least important priority of a request: that of its team decides, and that of its route between those of equal teams. */
export const lowestPriority = 99;
/** Priority of a route that names none. */
export const defaultPriority = 5;
/** Milliseconds that a call may take where neither caller nor route says otherwise. */
export const defaultTimeoutMilliseconds = 10_000;
/** Retries of a route that names no limit. */
export const defaultRetryLimit = 2;
/** Depth of the deepest call chain. */
export const maximumCallDepth = 15;
/** Largest relative difference in speed between two monotonic clocks. */
export const maximumClockDrift = 0.001;
