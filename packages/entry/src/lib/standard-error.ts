/** Writes texts for operators to standard error. */
import process from 'node:process';

let isWatched = false;

/** Writes a line. Nothing happens if standard error has no reader or its disk is full; without a listener, that would be an uncaught exception. */
export function writeError(text: string): void {
	if (!isWatched) {
		isWatched = true;
		process.stderr.on('error', () => undefined);
	}

	process.stderr.write(`${text}\n`);
}
