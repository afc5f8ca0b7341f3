/** Straight lines through measurements. */

/** One measurement: what it cost at one size. */
export type Point = {size: number; value: number};

/** A line of least squares, and how well it fits. */
export type Fit = {
	slope: number;
	intercept: number;
	/** Root mean square of what the line misses, as a share of the mean value. */
	residual: number;
};

/** Fits a line with an intercept; needs two sizes that differ. */
export function fitLine(points: readonly Point[]): Fit {
	const meanSize = mean(points.map(point => point.size));
	const meanValue = mean(points.map(point => point.value));
	let product = 0;
	let square = 0;
	for (const {size, value} of points) {
		product += (size - meanSize) * (value - meanValue);
		square += (size - meanSize) ** 2;
	}

	const slope = product / square;
	const intercept = meanValue - (slope * meanSize);
	const misses = points.map(({size, value}) => (value - intercept - (slope * size)) ** 2);
	return {slope, intercept, residual: meanValue === 0 ? 0 : Math.sqrt(mean(misses)) / Math.abs(meanValue)};
}

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
