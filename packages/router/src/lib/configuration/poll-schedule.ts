/** Schedules a daemon's reads of the head row in the table. */

/** Options of {@link createPollSchedule}. */
export type PollScheduleOptions = {
	/** Milliseconds between reads by the first-ranked daemons of a data centre. */
	pollMs: number;
	/** How many daemons of a data centre poll at that interval. */
	pollersPerDataCentre: number;
	/** Rank of this daemon in its data centre, from 0. */
	rank: () => number;
	/** Random source in [0, 1). */
	random: () => number;
};

/** The schedule of one daemon. */
export type PollSchedule = {
	/** Marks the start of the daemon, from which its first delay counts. */
	start: () => void;
	/**
	 * Whether to read now.
	 *
	 * @param ageMs Milliseconds since the newest known version was known to be the newest.
	 * @param unanswered Whether a newer version is known and no peer has sent it in time.
	 */
	isDue: (ageMs: number, unanswered: boolean) => boolean;
	succeeded: () => void;
	failed: () => void;
};

/** Daemons of higher groups of ranks wait as long as this group. */
const maxRankGroup = 8;
const maxBackoffFactor = 16;

/** Creates the schedule of a daemon that has not started yet. */
export function createPollSchedule(options: PollScheduleOptions): PollSchedule {
	const {pollMs, random} = options;
	let startedAt = 0;
	let nextAt = 0;
	let failures = 0;

	/** The first group of ranks polls at the regular interval; each further group only when the groups before it have failed to. */
	function dueAgeMs(): number {
		const group = Math.floor(options.rank() / options.pollersPerDataCentre);
		return pollMs * (1 + (Math.min(group, maxRankGroup) * 2));
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

			// Daemons that have just started also wait for their rank, so that they don't all read at once (thundering herd).
			const waitedMs = Math.min(ageMs, now - startedAt + pollMs);
			return unanswered || waitedMs >= dueAgeMs();
		},
		succeeded() {
			failures = 0;
			nextAt = performance.now() + (pollMs / 2);
		},
		failed() {
			failures++;
			// Jitter keeps the daemons from reading all at once when an outage ends.
			const backoffMs = pollMs * Math.min(maxBackoffFactor, 2 ** failures) / 2;
			nextAt = performance.now() + (backoffMs * (0.5 + random()));
		},
	};
}
