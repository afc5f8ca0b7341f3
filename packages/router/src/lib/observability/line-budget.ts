/**
 * Rate limit for log lines by kind. Under load, writing the lines of every
 * request would take processor time from the requests. Each kind has its own
 * budget, so that many successful responses do not suppress the lines of failures.
 */

/** Options of {@link createLineBudget}. */
export type LineBudgetOptions = {
	/** Lines per second for each kind; each kind not named here gets the budget of `other`. */
	perSecond: Readonly<Record<string, number>> & {readonly other: number};
};

/** Log line budgets of one process. */
export type LineBudget = {
	/** Returns whether a line of this kind may be written now, and counts it. */
	take: (kind: string) => boolean;
	/** Returns the number of lines dropped since the last call. */
	takeDroppedCount: () => number;
};

const windowMs = 1000;

/** Creates the budgets; they are refilled at the start of each one-second window. */
export function createLineBudget({perSecond}: LineBudgetOptions): LineBudget {
	const written = new Map<string, number>();
	let windowAt = Number.NEGATIVE_INFINITY;
	let droppedCount = 0;

	return {
		take(kind) {
			const now = performance.now();
			if (now - windowAt >= windowMs) {
				windowAt = now;
				written.clear();
			}

			const count = written.get(kind) ?? 0;
			if (count >= (perSecond[kind] ?? perSecond.other)) {
				droppedCount++;
				return false;
			}

			written.set(kind, count + 1);
			return true;
		},
		takeDroppedCount() {
			const count = droppedCount;
			droppedCount = 0;
			return count;
		},
	};
}
