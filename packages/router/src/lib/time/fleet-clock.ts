/**
 * A clock that all daemons of the fleet have in common as far as they have heard from the store.
 * Unlike the process's own clock, it counts the time for which the machine was suspended.
 */

/** The store's clock, as a daemon knows it. */
export type StoreClock = {
	/** The current time in milliseconds, never later than the store's; `undefined` while unknown. */
	clockMs: () => number | undefined;
	/** Grows when the store comes back with another clock. */
	generation: () => number;
	/** A peer had an answer of the store at this time, up to this version of its rows. */
	observeClock: (storeMs: number, version: number) => void;
};

/** The clock. */
export type FleetClock = {
	/** Milliseconds since some fixed time. Monotonic; jumps forward when the store shows that more time has passed. */
	now: () => number;
	/** Milliseconds since this time on the store's clock; 0 while either is unknown. */
	sinceMs: (storeMs: number | undefined) => number;
	observe: StoreClock['observeClock'];
};

/** The process's own clock, for parts that run without a store. */
export const processClock: FleetClock = {
	now: () => performance.now(),
	sinceMs: () => 0,
	observe() {
		// There is no store whose clock could be observed.
	},
};

/** Creates a clock that equals the process's own until the store's is known. */
export function createFleetClock({clockMs, generation, observeClock}: StoreClock): FleetClock {
	let last = performance.now();
	let lastReadAt = last;
	let offset: {ms: number; generation: number} | undefined;

	const now = (): number => {
		const readAt = performance.now();
		const continued = last + readAt - lastReadAt;
		const storeMs = clockMs();
		lastReadAt = readAt;
		last = continued;
		if (storeMs !== undefined) {
			if (offset?.generation !== generation()) {
				offset = {ms: continued - storeMs, generation: generation()};
			}

			last = Math.max(continued, storeMs + offset.ms);
		}

		return last;
	};

	return {
		now,
		sinceMs: storeMs => storeMs === undefined ? 0 : Math.max(0, (clockMs() ?? storeMs) - storeMs),
		observe: observeClock,
	};
}
