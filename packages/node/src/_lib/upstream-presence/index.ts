/**
Decides whether the upstream beside a node is present, from its announcements and
leave notices.

A node has no disk, and an announcement may be delayed until after the upstream has
left and the node has restarted. A departure is therefore recorded in the replicated log
before it is acknowledged, and a node that has started uses no upstream until it has
looked up the departures at the upstream's address.
*/

import {
	InvalidInputError, type Clock, type ServiceName, type Timer, type UpstreamDeparture,
} from '@fireflyglade/model';
import type {Fields} from '@fireflyglade/observability';
import type {DepartureLog} from '../../dependencies.js';
import {AnnouncementFilter, type AnnouncementOutcome, type UpstreamAnnouncement} from '../announcement-filter/index.js';

/** Leave notice of an upstream. */
export type LeaveNotice = {
	readonly instance: string;
	/** Wall-clock milliseconds of the upstream's start; absent if the notice does not name it. */
	readonly bornAt?: number;
};

/** Options of an upstream's presence. */
export type UpstreamPresenceOptions = {
	readonly clock: Clock;
	/** Address of the only upstream that may announce itself; any upstream may if absent. */
	readonly address?: string;
	/** Service of the only upstream that may announce itself; any service may if absent. */
	readonly service?: ServiceName;
	/** Keeps departures beyond a restart of the node; used only with `address`. */
	readonly departures?: DepartureLog;
	/** Called for each announcement of a present upstream. */
	readonly onPresent: (announcement: UpstreamAnnouncement) => void;
	/** Called when the upstream has left. */
	readonly onLeft: () => void;
	/** Called for the log. */
	readonly onLogEvent?: (event: string, details: Fields) => void;
};

/** Difference that the wall clocks of an upstream and its node may have. A later start is implausible, and would keep all real ones out. */
const maximumClockDifferenceMilliseconds = 86_400_000;
const lookupRetryMilliseconds = 200;
/** Time after which new announcements are accepted although no quorum has confirmed the departures, so that a control outage doesn't keep the upstreams of restarted nodes unused. */
const lookupGraceMilliseconds = 5000;

/** Tracks the presence of the upstream beside one node. */
export class UpstreamPresence {
	readonly #options: UpstreamPresenceOptions;
	readonly #filter = new AnnouncementFilter();
	/** True once the departures before the start of the node are known, or are no longer waited for. */
	#isSettled: boolean;
	/** The newest announcement that waits for the lookup. */
	#waiting: UpstreamAnnouncement | undefined;
	/** Start times of the upstreams whose departure is recorded, by instance. */
	readonly #recorded = new Map<string, number>();
	#timer: Timer | undefined;
	#isClosed = false;

	constructor(options: UpstreamPresenceOptions) {
		this.#options = options;
		this.#isSettled = options.address === undefined || options.departures === undefined;
	}

	/** Starts to look up the departures. */
	start(): void {
		const {clock, address, departures} = this.#options;
		if (address !== undefined && departures !== undefined) {
			void this.#lookUp(address, departures, clock.now() + lookupGraceMilliseconds);
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#timer?.cancel();
	}

	/**
	Handles an announcement. An announcement that the upstream leaves takes effect at once, and the promise resolves when the departure is recorded.

	@throws {Error} The departure could not be recorded, so it must not be acknowledged.
	*/
	async announce(announcement: UpstreamAnnouncement): Promise<AnnouncementOutcome> {
		const {onPresent, onLeft} = this.#options;
		const refusal = this.#findRefusal(announcement);
		if (refusal !== undefined) {
			return refusal;
		}

		if (!this.#isSettled && !announcement.isLeaving) {
			return this.#defer(announcement);
		}

		const outcome = this.#filter.accept(announcement);
		if (outcome === 'taken') {
			(announcement.isLeaving ? onLeft : onPresent)(announcement);
		}

		if (announcement.isLeaving && this.#filter.hasLeft(announcement)) {
			// A resend is outdated, but must not be acknowledged before the departure is recorded either.
			await this.#record(announcement);
		}

		return outcome;
	}

	/**
	Handles a leave notice. It takes effect at once, and the promise resolves when the departure is recorded.

	@throws {InvalidInputError} The notice names a start in the future.
	@throws {Error} The departure could not be recorded, so it must not be acknowledged.
	*/
	async leave({instance, bornAt}: LeaveNotice): Promise<void> {
		const {clock, onLeft} = this.#options;
		if (this.#isImplausible(bornAt ?? 0)) {
			throw new InvalidInputError('the start of the upstream lies in the future');
		}

		// Without a start time, every start until now has left.
		const departure = {instance, bornAt: bornAt ?? this.#filter.bornAtOf(instance) ?? clock.wallNow()};
		if (this.#filter.leave(departure)) {
			onLeft();
		}

		await this.#record(departure);
	}

	/** Finds out whether the announcement can't be one of the node's upstream. */
	#findRefusal(announcement: UpstreamAnnouncement): AnnouncementOutcome | undefined {
		const {address, service} = this.#options;
		if ((address !== undefined && address !== announcement.address) || (service !== undefined && service !== announcement.service)) {
			return 'of-another-upstream';
		}

		return this.#isImplausible(announcement.bornAt) ? 'not-started' : undefined;
	}

	#isImplausible(bornAt: number): boolean {
		return bornAt > this.#options.clock.wallNow() + maximumClockDifferenceMilliseconds;
	}

	#defer(announcement: UpstreamAnnouncement): AnnouncementOutcome {
		const waiting = this.#waiting;
		if (waiting === undefined || announcement.bornAt > waiting.bornAt || (announcement.bornAt === waiting.bornAt && announcement.sequence > waiting.sequence)) {
			this.#waiting = announcement;
		}

		return 'deferred';
	}

	async #record({instance, bornAt}: Pick<UpstreamDeparture, 'instance' | 'bornAt'>): Promise<void> {
		const {address, departures} = this.#options;
		const recorded = this.#recorded.get(instance) ?? Number.NEGATIVE_INFINITY;
		if (address === undefined || departures === undefined || recorded >= bornAt) {
			return;
		}

		await departures.record({address, instance, bornAt});
		this.#recorded.set(instance, bornAt);
	}

	/** Looks up the departures until a quorum confirms them. */
	async #lookUp(address: string, departures: DepartureLog, graceEnd: number): Promise<void> {
		while (!this.#isClosed) {
			try {
				this.#applyDepartures(await departures.find(address));
				return;
			} catch (error: unknown) {
				this.#checkGrace(error, graceEnd);
			}

			await this.#pause();
		}
	}

	#applyDepartures(departures: readonly UpstreamDeparture[]): void {
		if (this.#isClosed) {
			return;
		}

		for (const departure of departures) {
			this.#recorded.set(departure.instance, departure.bornAt);
			if (this.#filter.leave(departure)) {
				this.#options.onLeft();
			}
		}

		this.#isSettled = true;
		this.#acceptWaiting();
	}

	#acceptWaiting(): void {
		const waiting = this.#waiting;
		this.#waiting = undefined;
		if (waiting === undefined) {
			return;
		}

		if (this.#filter.accept(waiting) === 'taken') {
			this.#options.onPresent(waiting);
			return;
		}

		this.#options.onLogEvent?.('announcement rejected', {reason: 'outdated', instance: waiting.instance});
	}

	/** Accepts new announcements from the end of the grace period on. A deferred one may be older than a departure, and is dropped. */
	#checkGrace(error: unknown, graceEnd: number): void {
		if (this.#isSettled || this.#options.clock.now() < graceEnd) {
			return;
		}

		this.#isSettled = true;
		this.#waiting = undefined;
		this.#options.onLogEvent?.('departures unknown', {reason: error instanceof Error ? error.message : 'unknown reason'});
	}

	async #pause(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#timer = this.#options.clock.startTimer(lookupRetryMilliseconds, resolve);
		});
	}
}
