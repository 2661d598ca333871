/**
Mean service times of one service's targets, by work class.

The means come from the service times that gates report. The node's own latencies
are kept beside them for classes that no gate has reported yet.
*/

/** Weight of a new value in the moving averages. */
const weight = 0.05;
/** Maximum number of work classes that are kept for a service. */
const maximumClasses = 128;
/** Age up to which reports show that gates of this service state service times. */
const reportLifetimeMilliseconds = 30_000;

type ClassTimes = {
	reported: number | undefined;
	latency: number | undefined;
};

/** Moving averages of the service times of one service. */
export class ServiceTimes {
	readonly #classes = new Map<number, ClassTimes>();
	#reportedAt = Number.NEGATIVE_INFINITY;
	#load = 0;

	/** Mean load of the service's targets by the latest gate levels: requests relative to the concurrency limit. */
	get load(): number {
		return this.#load;
	}

	/** Records the service time, at the usual pace, that a gate reported for a work class. */
	recordReport(workClass: number, milliseconds: number, now: number): void {
		const times = this.#timesOf(workClass);
		times.reported = average(times.reported, milliseconds);
		this.#reportedAt = now;
	}

	/** Records the time in which an attempt of a work class was answered. */
	recordLatency(workClass: number, milliseconds: number): void {
		const times = this.#timesOf(workClass);
		times.latency = average(times.latency, milliseconds);
	}

	/** Records the load of a target by its latest gate level. */
	recordLoad(load: number): void {
		this.#load = average(this.#load, load);
	}

	/** Returns the mean service time of a work class in milliseconds; undefined if no gate has reported service times recently. */
	mean(workClass: number, now: number): number | undefined {
		if (now - this.#reportedAt > reportLifetimeMilliseconds) {
			return undefined;
		}

		const times = this.#classes.get(workClass);
		return times?.reported ?? times?.latency;
	}

	#timesOf(workClass: number): ClassTimes {
		const known = this.#classes.get(workClass);
		if (known !== undefined) {
			return known;
		}

		if (this.#classes.size >= maximumClasses) {
			const [oldest] = this.#classes.keys();
			this.#classes.delete(oldest!);
		}

		const times: ClassTimes = {reported: undefined, latency: undefined};
		this.#classes.set(workClass, times);
		return times;
	}
}

function average(mean: number | undefined, value: number): number {
	return mean === undefined ? value : mean + ((value - mean) * weight);
}
