/**
The messages between an entry node and a gate on a connection that they share.

Each message is a list that begins with its kind. Kinds 0 and 1 belong to the
connection itself.
*/

/** Kinds of messages, and what follows the kind. */
export const peerMessageKinds = {
	/** From the entry node, first of all: the fleet's secret. */
	hello: 2,
	/** From the entry node: number, call, traceparent, method, path, fields, body or null. */
	request: 3,
	/** From the entry node: number. */
	cancel: 4,
	/** From the entry node: number. */
	pause: 5,
	/** From the entry node: number. */
	resume: 6,
	/** From the gate: number, status, fields, note. */
	head: 7,
	/** From the gate: number, bytes. */
	data: 8,
	/** From the gate: number, trailers. */
	end: 9,
	/** From the gate: number, code, outcome, detail, milliseconds to wait or null, note. */
	problem: 10,
	/** From the gate: number. The answer broke off midway. */
	broken: 11,
} as const;
