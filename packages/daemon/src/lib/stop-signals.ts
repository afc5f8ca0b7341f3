/** Stops a daemon at a signal, once and within a limit of time. */
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {type Log} from 'hickorywalk/observability.js';

/** Options of {@link stopAtSignals}. */
export type StopAtSignalsOptions = {
	stop: () => Promise<void>;
	/** Longest time for a stop, in milliseconds. */
	limitMs: number;
	exit: (code: number) => void;
	log: Log;
};

const exitCodeStopped = 0;
const exitCodeStopFailed = 1;

/** Installs the handlers; signals after the first change nothing. */
export function stopAtSignals({
	stop, limitMs, exit, log,
}: StopAtSignalsOptions): void {
	let isStopping = false;

	const run = async (): Promise<number> => {
		try {
			const isInTime = await Promise.race([stop().then(() => true), pause(limitMs, false)]);
			if (!isInTime) {
				log.warn('Daemon ends before its stop is complete.', {ms: limitMs});
			}

			return isInTime ? exitCodeStopped : exitCodeStopFailed;
		} catch (error) {
			log.error('Daemon could not stop as planned.', {err: error});
			return exitCodeStopFailed;
		}
	};

	const handle = (): void => {
		if (!isStopping) {
			isStopping = true;
			void run().then(exit);
		}
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, handle);
	}
}
