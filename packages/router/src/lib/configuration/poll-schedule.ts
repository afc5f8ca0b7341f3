/** When a daemon reads the head in the table. */

/** Options of {@link createPollSchedule}. */
export type PollScheduleOptions = {
	/** Milliseconds between reads by the first daemons of a data centre. */
	pollMs: number;
	/** How many daemons of a data centre read at that pace. */
	pollersPerDataCentre: number;
	/** Place of this daemon in its data centre, from 0. */
	rank: () => number;
	/** Between 0 and 1. */
	random: () => number;
};

/** The schedule of one daemon. */
export type PollSchedule = {
	/** The daemon has just started and waits its turn. */
	start: () => void;
	/**
	 * Whether to read now.
	 *
	 * @param ageMs How old the news of the newest version is.
	 * @param unanswered Whether a newer version is known that no peer gave.
	 */
	isDue: (ageMs: number, unanswered: boolean) => boolean;
	succeeded: () => void;
	failed: () => void;
};

/** Ranks beyond this wait no longer than it. */
const longestWaitSteps = 8;
const longestBackoff = 16;

/** Creates the schedule of a daemon that has not started. */
export function createPollSchedule(options: PollScheduleOptions): PollSchedule {
	const {pollMs, random} = options;
	let startedAt = 0;
	let nextAt = 0;
	let failures = 0;

	/** The first daemons of a data centre poll at pace; each further rank only when those before it don't. */
	function dueAgeMs(): number {
		const group = Math.floor(options.rank() / options.pollersPerDataCentre);
		return pollMs * (1 + (Math.min(group, longestWaitSteps) * 2));
	}

	return {
		start() {
			startedAt = performance.now();
		},
		isDue(ageMs, unanswered) {
			const now = performance.now();
			if (now < nextAt) {
				return false;
			}

			// A daemon that has just started waits its turn too, or a herd would read all at once.
			const waitedMs = Math.min(ageMs, now - startedAt + pollMs);
			return unanswered || waitedMs >= dueAgeMs();
		},
		succeeded() {
			failures = 0;
			nextAt = performance.now() + (pollMs / 2);
		},
		failed() {
			failures++;
			// The pause varies, so that an outage ends without a rush.
			const pause = pollMs * Math.min(longestBackoff, 2 ** failures) / 2;
			nextAt = performance.now() + (pause * (0.5 + random()));
		},
	};
}
