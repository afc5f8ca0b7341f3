/** Attempts at one call: requests for the same answer, the later ones on other connections. The first answer counts. */

/** One attempt, in progress. */
export type CallAttempt = {
	/** Aborts the attempt. */
	signal: AbortSignal;
	/** Part of the answer has arrived. */
	progressed: () => void;
	/** Earlier attempts have no answer, perhaps because their connection is silent. This one should use a new one, and the service should not hold it. */
	isRepeat: boolean;
};

/** Options of {@link createCallAttempts}. */
export type CallAttemptsOptions<T> = {
	/** Makes an attempt. */
	start: (attempt: CallAttempt) => Promise<T>;
	/** Called with the first answer, and the milliseconds that the service took beyond `waitMs`. The other attempts are aborted. */
	onAnswer: (answer: T, ms: number) => void;
	/** Called when the last of the open attempts has failed. */
	onFailed: (error: Error) => void;
};

/** The attempts at one call; times are those of `performance.now()`. */
export type CallAttempts = {
	/** Makes an attempt, which the service may hold for `waitMs` on purpose. */
	begin: (waitMs: number) => void;
	/** Time since which an answer is due: that of the latest sign of one, or of the end of the latest wait. */
	dueSince: () => number;
	/** Time at which the latest part of an answer arrived, or else of the first attempt. */
	progressedAt: () => number;
	/** Number of attempts that are open. */
	openCount: () => number;
	/** Aborts all open attempts but the `count` oldest, without a further call of `onAnswer` or `onFailed` for them. */
	abortAllBut: (count: number) => void;
};

type Attempt = {startedAt: number; waitMs: number; abort: AbortController};

const maxOpen = 4;

/** Creates the attempts at one call, none of which has begun. */
export function createCallAttempts<T>({start, onAnswer, onFailed}: CallAttemptsOptions<T>): CallAttempts {
	/** Oldest first. */
	const open: Attempt[] = [];
	let progressedAt = performance.now();
	let latestDueAt = progressedAt;
	let hasBegun = false;

	const abortFrom = (first: number, count = open.length): void => {
		for (const {abort} of open.splice(first, count)) {
			abort.abort();
		}
	};

	/** Returns false if the attempt was aborted. */
	const close = (attempt: Attempt): boolean => {
		const at = open.indexOf(attempt);
		if (at !== -1) {
			open.splice(at, 1);
		}

		return at !== -1;
	};

	const run = async (attempt: Attempt, isRepeat: boolean): Promise<void> => {
		try {
			const answer = await start({
				signal: attempt.abort.signal,
				progressed() {
					progressedAt = performance.now();
				},
				isRepeat,
			});
			if (close(attempt)) {
				abortFrom(0);
				onAnswer(answer, Math.max(0, performance.now() - attempt.startedAt - attempt.waitMs));
			}
		} catch (error) {
			if (close(attempt) && open.length === 0) {
				onFailed(error as Error);
			}
		}
	};

	return {
		begin(waitMs) {
			if (open.length === maxOpen) {
				// The oldest attempt shows how late the service is; the latest ones have the newest connections.
				abortFrom(1, 1);
			}

			const attempt = {startedAt: performance.now(), waitMs, abort: new AbortController()};
			const isRepeat = hasBegun;
			hasBegun = true;
			latestDueAt = attempt.startedAt + waitMs;
			open.push(attempt);
			void run(attempt, isRepeat);
		},
		dueSince: () => Math.max(progressedAt, latestDueAt),
		progressedAt: () => progressedAt,
		openCount: () => open.length,
		abortAllBut(count) {
			abortFrom(count);
		},
	};
}
