/**
The usual duration of runs at one upstream, by work class.

Durations are compared within a class, because classes differ by more than an
upstream's speed does.
*/

/** Number of runs over which a usual duration is averaged. */
const averagedRuns = 50;
/** Number of runs after which a class has a usual duration to compare with. */
const minimumRuns = 8;
/** Number of classes above which the one whose last run is the longest ago is dropped, because other nodes state the classes. */
const maximumClasses = 255;

type Usual = {
	milliseconds: number;
	runs: number;
	/** Number of the class's last run among the runs of all classes. */
	lastRun: number;
};

/** Averages of durations in milliseconds, by work class. */
export class UsualDurations {
	readonly #classes = new Map<number, Usual>();
	#runs = 0;

	/** Usual duration of a class in milliseconds; undefined if too few of its runs have been recorded. */
	of(workClass: number): number | undefined {
		const usual = this.#classes.get(workClass);
		return usual === undefined || usual.runs < minimumRuns ? undefined : usual.milliseconds;
	}

	record(workClass: number, milliseconds: number): void {
		const lastRun = ++this.#runs;
		const usual = this.#classes.get(workClass);
		if (usual === undefined) {
			this.#add(workClass, {milliseconds, runs: 1, lastRun});
			return;
		}

		usual.lastRun = lastRun;
		usual.runs = Math.min(averagedRuns, usual.runs + 1);
		usual.milliseconds += (milliseconds - usual.milliseconds) / usual.runs;
	}

	#add(workClass: number, usual: Usual): void {
		if (this.#classes.size >= maximumClasses) {
			this.#dropOldest();
		}

		this.#classes.set(workClass, usual);
	}

	/** Drops the class whose last run is the longest ago. */
	#dropOldest(): void {
		let oldest = 0;
		let oldestRun = Number.POSITIVE_INFINITY;
		for (const [workClass, {lastRun}] of this.#classes) {
			if (lastRun < oldestRun) {
				oldest = workClass;
				oldestRun = lastRun;
			}
		}

		this.#classes.delete(oldest);
	}
}
