/**
 * Bounds how old socket events may be that this process has not read yet. A process that is short of
 * processor time, or was stopped, knows of its callers only what it has read.
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
	/** Returns a function to be called for each connection that a server accepts; it returns a lower bound of the `performance.now()` at which the connection arrived. */
	watchAccepts: () => () => number;
	/**
	 * Resolves once all sockets have been read again, in the order of the calls, in slices with a poll in between; resolves to
	 * the `performance.now()` up to which everything has been read.
	 */
	catchUp: () => Promise<number>;
};

/** Lag in milliseconds beyond which a decision on a request waits until the process has caught up. */
export const maxLagMs = 100;

/**
 * Completed turns after which all events have been read that arrived before the first of them ended: a new
 * connection is accepted, then its data are read, then its end.
 */
const turnsUntilRead = 3;

const currentTurn = (): number => performance.nodeTiming.uvMetricsInfo.loopCount;

/** Time in milliseconds after which sockets are read before more requests go on. */
const sliceMs = 50;

/** What goes on between two polls, the first of which begins at `polledAt`; `endsAt` is set once it has begun. */
type Slice = {polledAt: number; endsAt: number | undefined};

type Resume = (readUpTo: number) => void;

/** Creates the measurement; there should be one in a process. */
export function createEventLoopLag(): EventLoopLag {
	let startedAt: number | undefined;
	/** `performance.now()` at which recorded turns ended, the latest last. */
	const turnEnds: number[] = Array.from({length: turnsUntilRead}, () => performance.now());
	/** The slice after the next poll, if anything goes on in it. */
	let nextSlice: Slice | undefined;

	const endTurn = (): void => {
		startedAt = undefined;
		turnEnds.shift();
		turnEnds.push(performance.now());
	};

	const resumeAfterPoll = (resume: Resume): void => {
		nextSlice ??= {polledAt: performance.now(), endsAt: undefined};
		setImmediate(resumeInSlice, resume, nextSlice);
	};

	const resumeInSlice = (resume: Resume, slice: Slice): void => {
		const now = performance.now();
		if (slice.endsAt === undefined) {
			slice.endsAt = now + sliceMs;
			nextSlice = undefined;
		}

		if (now < slice.endsAt) {
			resume(slice.polledAt);
		} else {
			resumeAfterPoll(resume);
		}
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
		watchAccepts() {
			let latestTurn = 0;
			let queuedSince = 0;
			return () => {
				const turn = currentTurn();
				// Libuv accepts one connection of a server in each turn, so the queue was empty before unless the turn before accepted one, too.
				if (turn > latestTurn + 1) {
					[, queuedSince] = turnEnds;
				}

				latestTurn = turn;
				return queuedSince;
			};
		},
		catchUp: async () => new Promise<number>(resolve => {
			// Runs at the end of this turn, before the next poll.
			setImmediate(resumeAfterPoll, resolve);
		}),
	};
}
