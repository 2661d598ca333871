/**
Fits straight lines to measured points.
*/

/** A measured point. */
export type Point = {
	readonly size: number;
	readonly value: number;
};

/** A straight line `intercept + slope × size`. */
export type Line = {
	readonly intercept: number;
	readonly slope: number;
	/** Share of the variance that the line explains, from 0 to 1. */
	readonly fit: number;
};

/**
Fits a line by least squares.

@param points - At least two points of different sizes.
*/
export function fitLine(points: readonly Point[]): Line {
	const meanSize = mean(points.map(point => point.size));
	const meanValue = mean(points.map(point => point.value));
	let covariance = 0;
	let sizeVariance = 0;
	let valueVariance = 0;
	for (const {size, value} of points) {
		covariance += (size - meanSize) * (value - meanValue);
		sizeVariance += (size - meanSize) ** 2;
		valueVariance += (value - meanValue) ** 2;
	}

	const slope = covariance / sizeVariance;
	const fit = valueVariance === 0 ? 1 : (covariance ** 2) / (sizeVariance * valueVariance);
	return {intercept: meanValue - (slope * meanSize), slope, fit};
}

/** Fits the slope of a straight line through the origin. */
export function fitSlope(points: readonly Point[]): number {
	let squares = 0;
	let products = 0;
	for (const {size, value} of points) {
		squares += size * size;
		products += size * value;
	}

	return products / squares;
}

/** Returns the value of a line at a size. */
export function valueAt(line: Line, size: number): number {
	return line.intercept + (line.slope * size);
}

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
