/**
The table of members of all failure domains.

A record outranks another by the member's run, then by its version in that run,
then by its state, so that merging gives the same table in any order.
*/

import {
	type FailureDomain, type GateLevel, initialRevision, type NodeId, type Revision,
} from '@fireflyglade/model';
import type {MemberRecord, Pulse} from '../_lib/messages.js';
import type {MemberState, MemberView} from '../types.js';
import {tombstoneMilliseconds} from '../_lib/constants.js';

const stateRank: Readonly<Record<MemberState, number>> = {
	alive: 0, suspect: 1, dead: 2, left: 3,
};

/** Tells whether `first` is newer than `second`. */
export function outranks(first: MemberRecord, second: MemberRecord): boolean {
	if (first.incarnation !== second.incarnation) {
		return first.incarnation > second.incarnation;
	}

	if (first.version !== second.version) {
		return first.version > second.version;
	}

	return stateRank[first.state] > stateRank[second.state];
}

/** Tells whether a member takes part, as far as is known. */
export function isPresent(state: MemberState): boolean {
	return state === 'alive' || state === 'suspect';
}

type Entry = {
	record: MemberRecord;
	stateSince: number;
	pulse?: Pulse;
};

const hashModulus = 4_294_967_291;
const hashFactor = 16_777_619;

/** Hashes a text to a whole number of 32 bits. */
export function hashText(text: string): number {
	let hash = 0;
	for (const character of text) {
		hash = ((hash * 257) + character.codePointAt(0)! + hashFactor) % hashModulus;
	}

	return (hash * 65_539) % hashModulus;
}

/** Members as seen here. */
export class MemberTable {
	readonly #entries = new Map<NodeId, Entry>();
	readonly #digests = new Map<FailureDomain, number>();

	/** Merges a record; returns true if it was news. */
	merge(record: MemberRecord, now: number): boolean {
		const {node} = record.description;
		const entry = this.#entries.get(node);
		if (entry === undefined) {
			this.#entries.set(node, {record, stateSince: now});
			this.#addToDigest(record, 1);
			return true;
		}

		if (!outranks(record, entry.record)) {
			return false;
		}

		this.#addToDigest(entry.record, -1);
		if (entry.record.state !== record.state) {
			entry.stateSince = now;
		}

		entry.record = record;
		this.#addToDigest(record, 1);
		return true;
	}

	/** Merges what a member says often; returns true if it was news. */
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

	/** All records, those of dead and departed members too. */
	* records(): Iterable<MemberRecord> {
		for (const entry of this.#entries.values()) {
			yield entry.record;
		}
	}

	/** Members of a domain that take part. */
	present(domain: FailureDomain): MemberRecord[] {
		const found: MemberRecord[] = [];
		for (const {record} of this.#entries.values()) {
			if (record.description.domain === domain && isPresent(record.state)) {
				found.push(record);
			}
		}

		return found;
	}

	/** Suspected members of a domain whose time to refute has passed. */
	suspectedSince(domain: FailureDomain, limit: number): MemberRecord[] {
		const found: MemberRecord[] = [];
		for (const {record, stateSince} of this.#entries.values()) {
			if (record.state === 'suspect' && record.description.domain === domain && stateSince <= limit) {
				found.push(record);
			}
		}

		return found;
	}

	/** Drops records of members that are long gone. */
	dropTombstones(now: number): void {
		for (const [node, {record, stateSince}] of this.#entries) {
			if (!isPresent(record.state) && stateSince + tombstoneMilliseconds <= now) {
				this.#entries.delete(node);
			}
		}
	}

	/** A digest of the members of a domain that take part; equal tables have equal digests. */
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

	/** Adds a record to its domain's digest, or takes it out. */
	#addToDigest(record: MemberRecord, times: 1 | -1): void {
		const {domain, node} = record.description;
		const known = this.#digests.get(domain) ?? 0;
		const hash = isPresent(record.state) ? hashText(`${node} ${record.incarnation} ${record.version}`) : 0;
		this.#digests.set(domain, (known + (times * hash) + hashModulus) % hashModulus);
	}
}
