/** Repeats an asynchronous task that must not overlap itself. */

/** Options of {@link createPeriodicTask}. */
export type PeriodicTaskOptions = {
	/** Time to the first run, in milliseconds. */
	firstMs: number;
	/** Interval in milliseconds; a turn that comes while the task still runs is left out. */
	everyMs: number;
	run: () => Promise<void>;
	/** Called if a run rejects; the next one comes at its time. */
	onError: (error: unknown) => void;
};

/** A task that isn't running until started. */
export type PeriodicTask = {
	start: () => void;
	close: () => void;
};

/** Creates the task. */
export function createPeriodicTask({
	firstMs, everyMs, run, onError,
}: PeriodicTaskOptions): PeriodicTask {
	let firstTimer: NodeJS.Timeout | undefined;
	let timer: NodeJS.Timeout | undefined;
	let isRunning = false;

	const runUnlessRunning = async (): Promise<void> => {
		if (isRunning) {
			return;
		}

		isRunning = true;
		try {
			await run();
		} catch (error) {
			onError(error);
		} finally {
			isRunning = false;
		}
	};

	return {
		start() {
			const startRun = (): void => {
				void runUnlessRunning();
			};

			firstTimer = setTimeout(startRun, firstMs);
			timer = setInterval(startRun, everyMs);
		},
		close() {
			clearTimeout(firstTimer);
			clearInterval(timer);
		},
	};
}
