/**
 * Schedule of the bundles of reports. All daemons follow a shared clock, so that each step of an
 * interval finds what the step before it has sent.
 */

/**
 * Reports that a daemon receives per second, at most. Each costs some 20 µs of CPU time on a whole
 * core, and a VM may have a quarter of one.
 */
const maxReportsPerSecond = 425;

/**
 * Interval between bundles, as a multiple of the interval between rounds that reach all peers.
 * Reports are then 400 ms old on average. At twice the interval they are 50 ms younger, for a quarter
 * more CPU time.
 */
const intervalFactor = 2.5;

const msPerSecond = 1000;

/** Fraction of an interval below which the next one is awaited instead, since timers may fire slightly early. */
const minGapRatio = 0.1;

/** Time after the begin of an interval at which collectors exchange the reports of their members: these arrive within a few tens of milliseconds on a busy VM. */
export const exchangeDelayMs = 80;

/** Time after the begin of an interval at which collectors send bundles to their members. */
export const distributionDelayMs = 160;

/**
 * Interval between the bundles of a fleet. It doubles with the size of the fleet, so that daemons
 * that know different numbers of peers still have common times.
 */
export function bundleIntervalMs(everyMs: number, fleetSize: number): number {
	let intervalMs = everyMs * intervalFactor;
	while (fleetSize * msPerSecond / intervalMs > maxReportsPerSecond) {
		intervalMs *= 2;
	}

	return intervalMs;
}

/** Milliseconds until the next interval begins on the shared clock. */
export function untilNextInterval(clockMs: number, intervalMs: number): number {
	const leftMs = Math.ceil(intervalMs - (clockMs % intervalMs));
	return leftMs < intervalMs * minGapRatio ? leftMs + intervalMs : leftMs;
}
