/**
 * Schedule of the rounds of reports: a round reaches a limited number of peers, and rounds are
 * further apart in a large fleet. Rounds of all daemons follow a shared clock in step, so that
 * the datagrams of all peers arrive together and few wake-ups of the process read them.
 */

/** Options of {@link createRoundSchedule}. */
export type RoundScheduleOptions = {
	/** Interval between rounds while each reaches all peers, in milliseconds. */
	everyMs: number;
	peerCount: () => number;
	/** A clock in milliseconds that all daemons share; `undefined` while it is unknown. */
	sharedClockMs?: (() => number | undefined) | undefined;
};

/** The schedule; durations in milliseconds. */
export type RoundSchedule = {
	/** Number of rounds that reach all peers. */
	roundsPerRefresh: () => number;
	/** Time in which rounds reach all peers. */
	refreshMs: () => number;
	/** Time until the next round: the next multiple of the interval on the shared clock, or the whole interval without that clock. */
	untilNextMs: () => number;
};

/** Fan-out limit, so that the cost of a round doesn't grow with the fleet. */
export const maxPeersPerRound = 16;

/** Upper bound of the factor by which the interval between rounds grows with the fleet. */
const maxIntervalFactor = 2.5;

/** Intervals are multiples of this, so that daemons that know different numbers of peers mostly send at the same times. */
const intervalStepMs = 100;

/** Fraction of an interval below which a round right after another is left out, since timers may fire slightly early. */
const minGapRatio = 0.1;

/** Creates the schedule of one daemon; it holds no timers. */
export function createRoundSchedule({everyMs, peerCount, sharedClockMs}: RoundScheduleOptions): RoundSchedule {
	const roundsPerRefresh = (): number => Math.max(1, Math.ceil(peerCount() / maxPeersPerRound));

	const intervalMs = (): number => {
		const spread = everyMs * Math.min(maxIntervalFactor, Math.sqrt(roundsPerRefresh()));
		return Math.ceil(spread / intervalStepMs) * intervalStepMs;
	};

	return {
		roundsPerRefresh,
		refreshMs: () => Math.round(roundsPerRefresh() * intervalMs()),
		untilNextMs() {
			const interval = intervalMs();
			const clockMs = sharedClockMs?.();
			if (clockMs === undefined) {
				return interval;
			}

			const leftMs = Math.ceil(interval - (clockMs % interval));
			return leftMs < interval * minGapRatio ? leftMs + interval : leftMs;
		},
	};
}
