/**
Constants that several packages share.
*/

/** Milliseconds in a second. */
export const millisecondsInSecond = 1000;
/** Bytes in a kibibyte. */
export const bytesInKibibyte = 1024;
/** Bytes in a mebibyte. */
export const bytesInMebibyte = 1_048_576;
/** Milliseconds without an announcement after which an upstream gets no new requests. */
export const announcementTimeoutMilliseconds = 3000;
/** Interval between two announcements of an upstream, in milliseconds. */
export const announcementIntervalMilliseconds = 1000;
/** Milliseconds for which keys still count as fresh after a failure domain is cut off, that is, has contact neither with a quorum nor with more than half of the failure domains. */
export const keyFreshnessMilliseconds = 5000;
/** The most important priority; smaller numbers are more important. */
export const highestPriority = 0;
/** The least important priority that a route or a team may have. */
export const lowestRoutePriority = 9;
/** The least important priority of a request. The priority of its team comes first; that of its route decides among teams of equal priority. */
export const lowestPriority = 99;
/** Priority of a route that specifies none. */
export const defaultPriority = 5;
/** Timeout of a call if neither its caller nor its route specifies one, in milliseconds. */
export const defaultTimeoutMilliseconds = 10_000;
/** Retry limit of a route that specifies none. */
export const defaultRetryLimit = 2;
/** Maximum depth of a call chain. */
export const maximumCallDepth = 15;
/** Maximum relative difference in speed between two monotonic clocks. */
export const maximumClockDrift = 0.001;
