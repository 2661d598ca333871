/**
The table of members of all failure domains.

A record supersedes another by the member's run, then by its version in that run,
then by its state, so that merging gives the same table in any order.
*/

import {
	type FailureDomain, type GateLevel, initialRevision, type NodeId, type Revision,
} from '@fireflyglade/model';
import type {MemberRecord, Pulse} from '../_lib/messages.js';
import type {MemberState, MemberView} from '../types.js';
import {tombstoneLifetimeMilliseconds} from '../_lib/constants.js';

const stateRank: Readonly<Record<MemberState, number>> = {
	alive: 0, suspect: 1, dead: 2, left: 3,
};

/** Tells whether `first` supersedes `second`. */
export function supersedes(first: MemberRecord, second: MemberRecord): boolean {
	if (first.incarnation !== second.incarnation) {
		return first.incarnation > second.incarnation;
	}

	if (first.version !== second.version) {
		return first.version > second.version;
	}

	return stateRank[first.state] > stateRank[second.state];
}

/** Tells whether a member counts as present: alive, or suspected but not yet declared dead. */
export function isPresent(state: MemberState): boolean {
	return state === 'alive' || state === 'suspect';
}

type Entry = {
	record: MemberRecord;
	stateSince: number;
	pulse?: Pulse;
};

/** Largest prime number below 2^32. */
const hashModulus = 4_294_967_291;
/** Added for each character. */
const hashIncrement = 16_777_619;

/** Hashes a text to an unsigned 32-bit integer. */
export function hashText(text: string): number {
	let hash = 0;
	for (const character of text) {
		hash = ((hash * 257) + character.codePointAt(0)! + hashIncrement) % hashModulus;
	}

	return (hash * 65_539) % hashModulus;
}

/** The members of all failure domains as this node sees them. */
export class MemberTable {
	readonly #entries = new Map<NodeId, Entry>();
	readonly #digests = new Map<FailureDomain, number>();

	/** Merges a record; returns true if the table changed. */
	merge(record: MemberRecord, now: number): boolean {
		const {node} = record.description;
		const entry = this.#entries.get(node);
		if (entry === undefined) {
			this.#entries.set(node, {record, stateSince: now});
			this.#updateDigest(record, 1);
			return true;
		}

		if (!supersedes(record, entry.record)) {
			return false;
		}

		this.#updateDigest(entry.record, -1);
		if (entry.record.state !== record.state) {
			entry.stateSince = now;
		}

		entry.record = record;
		this.#updateDigest(record, 1);
		return true;
	}

	/** Merges a member's pulse; returns true if the table changed. */
	mergePulse(pulse: Pulse): boolean {
		const entry = this.#entries.get(pulse.node);
		if (pulse.incarnation !== entry?.record.incarnation) {
			return false;
		}

		const known = entry.pulse;
		if (known?.incarnation === pulse.incarnation && known.sequence >= pulse.sequence) {
			return false;
		}

		entry.pulse = pulse;
		return true;
	}

	get(node: NodeId): MemberRecord | undefined {
		return this.#entries.get(node)?.record;
	}

	/** Returns all records, including those of dead and departed members. */
	* records(): Iterable<MemberRecord> {
		for (const entry of this.#entries.values()) {
			yield entry.record;
		}
	}

	/** Returns the members of a domain that are present. */
	present(domain: FailureDomain): MemberRecord[] {
		const found: MemberRecord[] = [];
		for (const {record} of this.#entries.values()) {
			if (record.description.domain === domain && isPresent(record.state)) {
				found.push(record);
			}
		}

		return found;
	}

	/** Returns the members of a domain that have been suspected since `limit` or earlier. */
	expiredSuspects(domain: FailureDomain, limit: number): MemberRecord[] {
		const found: MemberRecord[] = [];
		for (const {record, stateSince} of this.#entries.values()) {
			if (record.state === 'suspect' && record.description.domain === domain && stateSince <= limit) {
				found.push(record);
			}
		}

		return found;
	}

	/** Removes the records of members that died or left longer ago than the tombstone lifetime. */
	removeTombstones(now: number): void {
		for (const [node, {record, stateSince}] of this.#entries) {
			if (!isPresent(record.state) && stateSince + tombstoneLifetimeMilliseconds <= now) {
				this.#entries.delete(node);
			}
		}
	}

	/** Returns a digest of the ids, runs and versions of the members of a domain that are present; tables with the same such members have equal digests. */
	digest(domain: FailureDomain): number {
		return this.#digests.get(domain) ?? 0;
	}

	domains(): Iterable<FailureDomain> {
		return this.#digests.keys();
	}

	views(): MemberView[] {
		const views: MemberView[] = [];
		for (const {record, pulse} of this.#entries.values()) {
			const revision: Revision = pulse?.revision ?? initialRevision;
			const level = pulse?.level;
			const description = {...record.description, revision, ...(level !== undefined && {level})};
			views.push({description, state: record.state});
		}

		return views;
	}

	levels(): ReadonlyMap<NodeId, GateLevel> {
		const levels = new Map<NodeId, GateLevel>();
		for (const [node, {pulse, record}] of this.#entries) {
			if (pulse?.level !== undefined && isPresent(record.state)) {
				levels.set(node, pulse.level);
			}
		}

		return levels;
	}

	/** Adds a record to its domain's digest (`times` 1) or removes it (`times` -1). */
	#updateDigest(record: MemberRecord, times: 1 | -1): void {
		const {domain, node} = record.description;
		const known = this.#digests.get(domain) ?? 0;
		const hash = isPresent(record.state) ? hashText(`${node} ${record.incarnation} ${record.version}`) : 0;
		this.#digests.set(domain, (known + (times * hash) + hashModulus) % hashModulus);
	}
}
