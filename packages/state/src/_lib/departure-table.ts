/**
Departures of upstreams: for each address, the upstreams that take no new work.

A node has no disk. It records a departure here before it acknowledges it, and asks for
it after a start, so that a delayed announcement does not bring the upstream back. A
departure is retained for a limited time, as announcements are not delayed longer.
*/

import type {UpstreamDeparture} from '@fireflyglade/model';

/** Limits of the table. They must be the same on every member of the log. */
export type DepartureLimits = {
	/** The most departures in the table; the oldest are dropped first. */
	readonly maximumDepartures: number;
	/** Time for which a departure is retained. */
	readonly departureRetentionMilliseconds: number;
};

/** One departure. `recordedAt` is in milliseconds of the state machine's elapsed time. */
export type DepartureRecord = {
	readonly departure: UpstreamDeparture;
	readonly recordedAt: number;
};

/** The latest departure of each instance at each address. */
export class DepartureTable {
	readonly #limits: DepartureLimits;
	/** Records by name, in the order of `recordedAt`, oldest first. */
	readonly #records = new Map<string, DepartureRecord>();
	readonly #namesByAddress = new Map<string, Set<string>>();

	constructor(limits: DepartureLimits, records: readonly DepartureRecord[] = []) {
		this.#limits = limits;
		for (const record of records) {
			this.#put(record);
		}
	}

	/** Records a departure, unless one of a later start of the same instance is known. */
	record(departure: UpstreamDeparture, now: number): void {
		const known = this.#records.get(recordName(departure));
		if (known === undefined || known.departure.bornAt <= departure.bornAt) {
			this.#put({departure, recordedAt: now});
		}

		this.#dropOldest(now);
	}

	/** The departures at an address. */
	at(address: string): readonly UpstreamDeparture[] {
		return [...this.#namesByAddress.get(address) ?? []].map(name => this.#records.get(name)!.departure);
	}

	records(): readonly DepartureRecord[] {
		return [...this.#records.values()];
	}

	#put(record: DepartureRecord): void {
		const {departure} = record;
		const name = recordName(departure);
		this.#records.delete(name);
		this.#records.set(name, record);
		const names = this.#namesByAddress.get(departure.address) ?? new Set();
		this.#namesByAddress.set(departure.address, names.add(name));
	}

	#dropOldest(now: number): void {
		for (const {departure, recordedAt} of this.#records.values()) {
			const isExpired = now - recordedAt > this.#limits.departureRetentionMilliseconds;
			if (!isExpired && this.#records.size <= this.#limits.maximumDepartures) {
				return;
			}

			this.#drop(departure);
		}
	}

	#drop(departure: UpstreamDeparture): void {
		const name = recordName(departure);
		this.#records.delete(name);
		const names = this.#namesByAddress.get(departure.address);
		names?.delete(name);
		if (names?.size === 0) {
			this.#namesByAddress.delete(departure.address);
		}
	}
}

/** The name of a record. It is unique, because an address contains no space. */
function recordName({address, instance}: UpstreamDeparture): string {
	return `${address} ${instance}`;
}
