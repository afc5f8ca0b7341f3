/** The daemon of an entry VM. */
import {statSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	BootSettingsError, readBootSettings, settingsVariable, waitForBootSettings,
} from '@hickorywalk/platform';
import {LayerError} from 'hickorywalk/fleet.js';
import {createLineBatch, createLog, setLogWriter} from 'hickorywalk/observability.js';
import {startEntryDaemon} from './lib/entry-daemon.js';
import {exitAfterFlush} from './lib/exit-after-flush.js';
import {createLogOutput} from './lib/log-output.js';
import {installSignalHandlers} from './lib/signal-handlers.js';
import {writeError} from './lib/standard-error.js';
import {describeStartFailure} from './lib/start-failure.js';
import {handleUncaughtExceptions} from './lib/uncaught-exceptions.js';

/** Upper bound on log bytes queued for a slow reader; further lines are dropped. */
const maxQueuedLogBytes = 256 * 1024;
/** Longest time for which a log line is buffered; a killed process loses the lines of this time. */
const logFlushMs = 250;
const maxBatchChars = 16 * 1024;
const maxPort = 65_535;
/** Far above what the platform writes. */
const maxSettingsBytes = 1024 * 1024;

const output = createLogOutput({fd: 1, maxQueuedBytes: maxQueuedLogBytes});
const logBatch = createLineBatch({
	write: output.write,
	flushMs: logFlushMs,
	maxChars: maxBatchChars,
});
setLogWriter(logBatch.add);

const log = createLog('program');
let isExiting = false;
let hasStarted = false;

/** Ends the process once all buffered log lines are written, as far as that is possible in a short time. */
async function exit(code: number): Promise<void> {
	if (!isExiting) {
		isExiting = true;
		logBatch.flush();
		await exitAfterFlush(output, code);
	}
}

const uncaughtExceptions = handleUncaughtExceptions({
	log,
	hasStarted: () => hasStarted,
	writeError,
	exit(code) {
		void exit(code);
	},
});

/** Validates the settings file and logs the result; the running daemon keeps its settings. */
async function validateSettings(path: string): Promise<void> {
	try {
		const stat = statSync(path, {throwIfNoEntry: false});
		if (stat !== undefined && (!stat.isFile() || stat.size > maxSettingsBytes)) {
			// A pipe would block the process, and a huge file exceed its memory.
			throw new BootSettingsError(`The settings file ${path} is no regular file of up to ${maxSettingsBytes} bytes.`);
		}

		await waitForBootSettings(path, {log});
		log.info('Settings file is valid; changes take effect at the next start.');
	} catch (error) {
		log.warn('Settings file is invalid; the current settings stay in effect.', {err: error});
	}
}

/** Throws {@link BootSettingsError} for unknown options. */
function parseCommandLine() {
	try {
		return parseArgs({options: {check: {type: 'boolean', default: false}, 'metrics-port': {type: 'string'}}});
	} catch (error) {
		throw new BootSettingsError(`The command line is invalid: ${(error as Error).message}`, {cause: error});
	}
}

/**
 * Parses the command line.
 * @throws {BootSettingsError} naming the option that is invalid.
 */
function readOptions(): {check: boolean; metricsPort: number | undefined} {
	const {values} = parseCommandLine();
	const text = values['metrics-port'];
	const metricsPort = text === undefined ? undefined : Number(text);
	if (metricsPort !== undefined && !(Number.isInteger(metricsPort) && metricsPort >= 0 && metricsPort <= maxPort)) {
		throw new BootSettingsError(`--metrics-port is ${text}; expected an integer from 0 to ${maxPort}.`);
	}

	return {check: values.check, metricsPort};
}

async function main(path: string | undefined): Promise<void> {
	if (path === undefined) {
		throw new BootSettingsError(`Set ${settingsVariable} to the path of the settings file.`);
	}

	const {check, metricsPort} = readOptions();
	if (check) {
		process.stdout.write(`The settings of ${readBootSettings(path).name} are valid.\n`);
		process.exit(0);
	}

	signalHandlers.watch(await startEntryDaemon(await waitForBootSettings(path, {log}), {metricsPort, uncaughtExceptions}));
	hasStarted = true;
}

const settingsPath = process.env[settingsVariable];

// The platform also sends SIGHUP and SIGTERM while a daemon starts.
const signalHandlers = installSignalHandlers({
	log,
	validateSettings() {
		if (settingsPath !== undefined) {
			void validateSettings(settingsPath);
		}
	},
	exit(code) {
		void exit(code);
	},
});

main(settingsPath).catch((error: unknown) => {
	const {exitCode, text} = describeStartFailure(error);
	// Texts of foreign errors may quote what must not be logged.
	log.error('Start failed.', {err: error, reason: error instanceof LayerError ? text : undefined, status: exitCode});
	writeError(text);
	void exit(exitCode);
});
