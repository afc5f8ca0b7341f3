/** Detects the silence of an endpoint and the deadline of a request with one timer. */

/** Options of {@link createSilenceTimer}. */
export type SilenceTimerOptions = {
	/** `performance.now()` at which the request times out. */
	deadlineAt: number;
	onDeadline: () => void;
	/** Called after `limitMs` of silence; without a restart, only the deadline remains. */
	onSilent: (limitMs: number) => void;
};

/** A silence timeout, which never exceeds the deadline. */
export type SilenceTimer = {
	/** Starts the timeout anew with this limit in milliseconds. */
	restart: (limitMs: number) => void;
	stop: () => void;
};

/** Timers may run this much early by the clock of `performance.now()`, in milliseconds. */
const timerToleranceMs = 1;

/**
 * Creates a stopped timer. A restart that moves the timeout to a later time only records this time:
 * the runtime's timer goes on and is set again when it runs out, since nearly all restarts are
 * followed by another one long before.
 */
export function createSilenceTimer({deadlineAt, onDeadline, onSilent}: SilenceTimerOptions): SilenceTimer {
	let timer: NodeJS.Timeout | undefined;
	let reading: NodeJS.Immediate | undefined;
	let timerAt = 0;
	let dueAt = 0;
	let limitMs = 0;

	const stop = (): void => {
		clearTimeout(timer);
		clearImmediate(reading);
		timer = undefined;
		reading = undefined;
	};

	const arm = (now: number): void => {
		stop();
		timerAt = dueAt;
		timer = setTimeout(check, Math.max(0, dueAt - now));
	};

	const isDue = (now: number): boolean => dueAt - now < timerToleranceMs;

	const check = (): void => {
		const now = performance.now();
		timer = undefined;
		if (isDue(now)) {
			// After a long turn the runtime runs timers before it reads what has arrived meanwhile.
			reading = setImmediate(report);
		} else {
			arm(now);
		}
	};

	const report = (): void => {
		reading = undefined;
		if (dueAt === deadlineAt) {
			onDeadline();
		} else {
			// Armed first, since the callback may throw.
			dueAt = deadlineAt;
			arm(performance.now());
			onSilent(limitMs);
		}
	};

	return {
		restart(newLimitMs) {
			const now = performance.now();
			limitMs = newLimitMs;
			dueAt = Math.min(now + limitMs, deadlineAt);
			if (timer === undefined || dueAt < timerAt) {
				arm(now);
			}
		},
		stop,
	};
}
