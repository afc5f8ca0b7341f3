/** Keeps a daemon in service after an exception that nothing has caught. */
import process from 'node:process';
import {createLineBudget, type Log} from 'hickorywalk/observability.js';

/** Options of {@link handleUncaughtExceptions}. */
export type UncaughtExceptionsOptions = {
	log: Log;
	/** Whether the start is complete; before that, an exception may have stopped it halfway, and ends the process. */
	hasStarted: () => boolean;
	/** Writes text for operators to standard error. */
	writeError: (text: string) => void;
	exit: (code: number) => void;
};

const exitCodeUncaughtException = 1;
const linesPerSecond = 2;
const maxFrameChars = 150;

/** The function and position that threw; the message is left out, since it may quote a request. */
function describeOrigin(err: unknown): string | undefined {
	const frame = err instanceof Error ? /^ +at .*$/mv.exec(err.stack ?? '') : undefined;
	return frame?.[0].trim().slice(-maxFrameChars);
}

/**
 * Installs the handler of exceptions and rejections that nothing has caught; returns a function that counts them.
 *
 * A daemon goes on: it handles its requests independently of each other, and what one of them, a report or a timer
 * has left behind ends with its deadline. Exiting would cut all requests under way, and what all daemons
 * get, such as a row of the store, would end one after the other.
 */
export function handleUncaughtExceptions({
	log, hasStarted, writeError, exit,
}: UncaughtExceptionsOptions): () => number {
	const budget = createLineBudget({perSecond: {other: linesPerSecond}});
	let count = 0;
	let isExiting = false;
	process.prependListener('exit', () => {
		isExiting = true;
	});
	process.on('uncaughtException', (err: unknown) => {
		count++;
		if (budget.take('exception')) {
			log.error('Uncaught exception.', {err, reason: describeOrigin(err), count});
			writeError(err instanceof Error ? err.stack ?? err.name : `Uncaught exception of type ${typeof err}.`);
		}

		if (isExiting) {
			// A listener of the exit threw, which would stop the exit halfway.
			process.exit(exitCodeUncaughtException);
		}

		if (!hasStarted()) {
			exit(exitCodeUncaughtException);
		}
	});
	return () => count;
}
