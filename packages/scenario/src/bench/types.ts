/**
What every bench takes and reports.
*/

/** Options of a bench. */
export type BenchOptions = {
	readonly seed: number;
	/** True for a longer run; without it a bench ends within 4 minutes. */
	readonly long: boolean;
	/** Writes a line about the progress to standard error. */
	readonly progress: (line: string) => void;
};

/** A stated target beside what was measured. */
export type BenchTarget = {
	readonly name: string;
	/** The bound as stated, such as `≤ 1.5 ms`. */
	readonly target: string;
	readonly measured: number;
	readonly held: boolean;
};

/** What a bench reports. */
export type BenchReport = {
	readonly results: unknown;
	readonly targets: readonly BenchTarget[];
};
