/**
 * Corrects expected times to the first event that are too long. Otherwise requests would be refused that
 * could be served, and the endpoints would be left half idle. Estimates that are too short are not corrected here.
 */

/** The correction of each service. */
export type EstimateCorrection = {
	/** Factor on expected times, at most 1. */
	ratio: (service: string) => number;
	/** A response has begun. */
	record: (service: string, expectedMs: number, actualMs: number) => void;
};

type Sums = {expectedMs: number; actualMs: number};

/** Lower bound of the factor, so that a few quick responses don't let requests through that can't be served. */
const minRatio = 0.2;

/** Fraction of the sums that remains after each response; the factor thus follows the latest 30 or so. */
const decay = 0.97;

/** Expected time in milliseconds with which the sums begin, as if estimates had been right. */
const initialMs = 1000;

/** Creates a correction without measurements. */
export function createEstimateCorrection(): EstimateCorrection {
	const sums = new Map<string, Sums>();

	return {
		ratio(service) {
			const known = sums.get(service);
			return known === undefined ? 1 : Math.min(1, Math.max(minRatio, known.actualMs / known.expectedMs));
		},
		record(service, expectedMs, actualMs) {
			const known = sums.get(service) ?? {expectedMs: initialMs, actualMs: initialMs};
			known.expectedMs = (known.expectedMs * decay) + expectedMs;
			known.actualMs = (known.actualMs * decay) + actualMs;
			sums.set(service, known);
		},
	};
}
