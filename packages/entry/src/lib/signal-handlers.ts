/** Handles the signals that end a process by default. */
import process from 'node:process';
import {type Log} from 'hickorywalk/observability.js';
import {type EntryDaemon} from './entry-daemon.js';

/** Options of {@link installSignalHandlers}. */
export type SignalHandlersOptions = {
	log: Log;
	/** Validates the settings file and logs the result. */
	validateSettings: () => void;
	/** Ends the process with this code once all log lines are written. */
	exit: (code: number) => void;
};

/** Installed handlers. */
export type SignalHandlers = {
	/** The daemon that a signal to stop ends as planned; until there is one, such a signal ends the process at once. */
	watch: (daemon: EntryDaemon) => void;
};

const exitCodeStopped = 0;
const exitCodeStopFailed = 1;

/** Installs the handlers, which stay installed until the process has ended. */
export function installSignalHandlers({log, validateSettings, exit}: SignalHandlersOptions): SignalHandlers {
	let daemon: EntryDaemon | undefined;
	let isStopping = false;

	const stop = async (signal: NodeJS.Signals): Promise<void> => {
		if (isStopping) {
			log.info('Signal is ignored, since the daemon already stops.', {reason: signal});
			return;
		}

		isStopping = true;
		if (daemon === undefined) {
			log.info('Daemon stops before its start is complete.', {reason: signal});
			exit(exitCodeStopped);
			return;
		}

		try {
			await daemon.stop();
			exit(exitCodeStopped);
		} catch (error) {
			log.error('Daemon could not stop as planned.', {err: error});
			exit(exitCodeStopFailed);
		}
	};

	const ignore = (signal: NodeJS.Signals): void => {
		log.info('Signal is ignored, since it has no meaning here.', {reason: signal});
	};

	// The default action of each of these ends the process.
	const handlers = {
		SIGTERM: stop,
		SIGINT: stop,
		SIGQUIT: stop,
		SIGHUP: validateSettings,
		SIGUSR2: ignore,
		SIGALRM: ignore,
		SIGVTALRM: ignore,
		SIGIO: ignore,
		SIGPWR: ignore,
	};
	for (const [signal, handler] of Object.entries(handlers)) {
		process.on(signal, () => {
			void handler(signal as NodeJS.Signals);
		});
	}

	return {
		watch(started) {
			daemon = started;
		},
	};
}
