/**
 * Bounds how old socket events may be that this process has not read yet. A process that is short of
 * processor time, or was stopped, knows of the world only what it has read.
 */

/** The lag of this process's event loop. */
export type EventLoopLag = {
	/**
	 * Records that the event loop runs. Called from callbacks of sockets; the more often it is called, the
	 * tighter the bound. Returns the `performance.now()` of the first call in the current turn: what was
	 * read in this turn arrived before.
	 */
	recordTurn: () => number;
	/**
	 * Upper bound in milliseconds of the age of events that have not been read, such as the end of a
	 * connection behind a request that has just been read.
	 */
	lagMs: () => number;
};

/**
 * Completed turns after which all events have been read that arrived before the first of them ended: a new
 * connection is accepted, then its data are read, then its end.
 */
const turnsUntilRead = 3;

/** Creates the measurement; there should be one in a process. */
export function createEventLoopLag(): EventLoopLag {
	let startedAt: number | undefined;
	/** `performance.now()` at which recorded turns ended, the latest last. */
	const turnEnds: number[] = Array.from({length: turnsUntilRead}, () => performance.now());

	const endTurn = (): void => {
		startedAt = undefined;
		turnEnds.shift();
		turnEnds.push(performance.now());
	};

	return {
		recordTurn() {
			if (startedAt === undefined) {
				startedAt = performance.now();
				// Runs at the end of the same turn, without a turn of its own.
				setImmediate(endTurn);
			}

			return startedAt;
		},
		lagMs: () => performance.now() - turnEnds[0],
	};
}
