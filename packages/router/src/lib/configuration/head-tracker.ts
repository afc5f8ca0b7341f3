/**
 * Tracks the newest version that a daemon knows of, and when that version was
 * last known to be the newest. Times are read from the monotonic clock, so that
 * a step of the wall clock can't make a version appear fresher.
 */

/** A version and the time since it was known to be the newest. */
export type HeadObservation = {
	version: number;
	/** Milliseconds; `Infinity` when it was never known to be the newest. */
	ageMs: number;
};

/** Tracks the newest known version. */
export type HeadTracker = {
	/**
	 * Records an observation. One of a lower version is ignored whatever its
	 * age: it comes from a stale peer or was delayed in transit.
	 */
	observe: (observation: HeadObservation) => void;
	/** The highest version observed, with the age of its freshest observation. */
	newest: () => HeadObservation;
};

/** Creates the tracker of a daemon that has just started and knows of no version. */
export function createHeadTracker(): HeadTracker {
	let version = 0;
	let knownAt = -Infinity;
	return {
		observe(observation) {
			const observedAt = performance.now() - observation.ageMs;
			if (observation.version < version) {
				return;
			}

			knownAt = observation.version > version ? observedAt : Math.max(knownAt, observedAt);
			version = observation.version;
		},
		newest() {
			return {version, ageMs: performance.now() - knownAt};
		},
	};
}
