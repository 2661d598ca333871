/**
The options and the report that all benches share.
*/

/** Options of a bench. */
export type BenchOptions = {
	readonly seed: number;
	/** True for a longer run; otherwise a bench finishes within 4 minutes. */
	readonly long: boolean;
	/** Reports a line of progress, which is written to standard error. */
	readonly progress: (line: string) => void;
};

/** A target, the measured value, and whether the target is met. */
export type BenchTarget = {
	readonly name: string;
	/** The bound as text, such as `≤ 1.5 ms`. */
	readonly target: string;
	readonly measured: number;
	readonly held: boolean;
};

/** The report of a bench; `results` depends on the bench and is printed as JSON. */
export type BenchReport = {
	readonly results: unknown;
	readonly targets: readonly BenchTarget[];
};
