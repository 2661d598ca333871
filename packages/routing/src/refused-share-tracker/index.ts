/**
Tracks which share of its requests a service refuses at its upstreams.

A node measures the share for the services that it calls itself. Shares of services
deeper in the call graph come with the answers of gates and are passed up in the same
way as queueing delays.
*/

import type {ServiceName} from '@fireflyglade/model';

/** The share of requests that the upstreams of a service refuse without running them. */
export type RefusedShare = {
	readonly service: ServiceName;
	/** From 0 to 1. */
	readonly share: number;
};

/** Half-life of the counts of a node's own calls. */
const halfLifeMilliseconds = 400;
/** Decayed number of calls from which their share is used. */
const minimumCalls = 4;
/** Weight of one report in the moving average of a service. */
const reportWeight = 0.2;
/** Age from which an estimate is ignored. */
const maximumAgeMilliseconds = 1000;
/** Half-life of the counts by which an upstream is seen to make calls; long, so that it outlasts a time in which few runs get so far. */
const callsHalfLifeMilliseconds = 10_000;
/** Calls for each run from which an upstream counts as making calls. Requests on open routes that callers send themselves look like its calls, and are few beside its runs. */
const minimumCallsPerRun = 0.05;
/** Share below which nothing is reported. */
const minimumReportedShare = 0.02;

type ServiceShares = {
	refused: number;
	arrived: number;
	countedAt: number;
	/** Moving average of the reported shares. */
	reported: number;
	reportedAt: number;
};

/** Estimates of the refused share, by service. */
export class RefusedShareTracker {
	readonly #shares = new Map<ServiceName, ServiceShares>();
	/** Decaying counts of the runs of the node's own upstream and of its calls, as of `#callsCountedAt`. */
	#runs = 0;
	#calls = 0;
	#callsCountedAt = 0;

	/** Counts a call that reached an upstream of the service. */
	recordCall(service: ServiceName, isRefused: boolean, now: number): void {
		this.#decayCalls(now);
		this.#calls++;
		const shares = this.#sharesOf(service);
		const factor = 0.5 ** (Math.max(0, now - shares.countedAt) / halfLifeMilliseconds);
		shares.arrived = (shares.arrived * factor) + 1;
		shares.refused = (shares.refused * factor) + Number(isRefused);
		shares.countedAt = now;
	}

	/** Records a share that was reported with an answer. */
	recordReport({service, share}: RefusedShare, now: number): void {
		const shares = this.#sharesOf(service);
		const isFresh = now - shares.reportedAt <= maximumAgeMilliseconds;
		shares.reported += (share - shares.reported) * (isFresh ? reportWeight : 1);
		shares.reportedAt = now;
	}

	/** Counts a request that the node's own upstream ran. */
	recordRun(now: number): void {
		this.#decayCalls(now);
		this.#runs++;
	}

	/** True if the node's own upstream makes calls as a part of its runs. */
	get hasCalls(): boolean {
		return this.#calls > 0 && this.#calls >= this.#runs * minimumCallsPerRun;
	}

	/** The service with the highest refused share; undefined if none refuses a notable share. */
	highest(now: number): RefusedShare | undefined {
		let highest: RefusedShare | undefined;
		for (const [service, shares] of this.#shares) {
			const share = getShare(shares, now);
			if (share > (highest?.share ?? minimumReportedShare)) {
				highest = {service, share};
			}
		}

		return highest;
	}

	#decayCalls(now: number): void {
		const factor = 0.5 ** (Math.max(0, now - this.#callsCountedAt) / callsHalfLifeMilliseconds);
		this.#runs *= factor;
		this.#calls *= factor;
		this.#callsCountedAt = now;
	}

	#sharesOf(service: ServiceName): ServiceShares {
		let shares = this.#shares.get(service);
		if (shares === undefined) {
			shares = {
				refused: 0, arrived: 0, countedAt: Number.NEGATIVE_INFINITY, reported: 0, reportedAt: Number.NEGATIVE_INFINITY,
			};
			this.#shares.set(service, shares);
		}

		return shares;
	}
}

/** The share among the node's own calls, if there were enough of them lately, else the reported one. */
function getShare({refused, arrived, countedAt, reported, reportedAt}: ServiceShares, now: number): number {
	if (now - countedAt <= maximumAgeMilliseconds && arrived >= minimumCalls) {
		return refused / arrived;
	}

	return now - reportedAt <= maximumAgeMilliseconds ? reported : 0;
}
