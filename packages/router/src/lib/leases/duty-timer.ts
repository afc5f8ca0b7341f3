/** Runs the periodic work of a duty only while its lease is held. */

/** Options of {@link createDutyTimer}. */
export type DutyTimerOptions = {
	/** Interval of the work, in milliseconds. */
	everyMs: number;
	/** Whether this daemon holds the lease, checked before each run. */
	isHeld: () => boolean;
	/** The work. */
	tick: () => void;
};

/** Periodic work of a duty. */
export type DutyTimer = {
	/** Runs the work until the lease has ended; call it at each acquisition or renewal. */
	start: () => void;
	close: () => void;
};

/** Creates a timer that isn't running. */
export function createDutyTimer({everyMs, isHeld, tick}: DutyTimerOptions): DutyTimer {
	let timer: NodeJS.Timeout | undefined;

	const close = (): void => {
		clearInterval(timer);
		timer = undefined;
	};

	return {
		start() {
			timer ??= setInterval(() => {
				if (isHeld()) {
					tick();
				} else {
					close();
				}
			}, everyMs);
		},
		close,
	};
}
