/**
Metrics as plain values: families of samples with labels.
*/

/** One value of a metric, with its labels. */
export type MetricSample = {
	readonly labels: Readonly<Record<string, string>>;
	readonly value: number;
};

/** A metric with all its samples. */
export type MetricFamily = {
	/** Name with its unit, such as `fireflyglade_request_duration_seconds`. */
	readonly name: string;
	readonly help: string;
	readonly kind: 'counter' | 'gauge';
	/** Names of the labels; every sample has all of them. */
	readonly labelNames: readonly string[];
	readonly samples: readonly MetricSample[];
};
