/**
 * Bounds how many log lines of a kind are written a second. Under load every
 * request has its lines, and writing them all would take processor time from
 * the requests. Each kind has its own budget, so that many good answers leave
 * no failure out.
 */

/** Options of {@link createLineBudget}. */
export type LineBudgetOptions = {
	/** Lines a second, by kind; other kinds have the budget of `other`. */
	perSecond: Readonly<Record<string, number>> & {readonly other: number};
};

/** The budgets of one process. */
export type LineBudget = {
	/** Whether a line of this kind may be written now. */
	take: (kind: string) => boolean;
	/** Lines left out since the last call. */
	takeLeftOut: () => number;
};

const windowMs = 1000;

/** Opens budgets; each window of a second starts anew. */
export function createLineBudget({perSecond}: LineBudgetOptions): LineBudget {
	const written = new Map<string, number>();
	let windowAt = Number.NEGATIVE_INFINITY;
	let leftOut = 0;

	return {
		take(kind) {
			const now = performance.now();
			if (now - windowAt >= windowMs) {
				windowAt = now;
				written.clear();
			}

			const count = written.get(kind) ?? 0;
			if (count >= (perSecond[kind] ?? perSecond.other)) {
				leftOut++;
				return false;
			}

			written.set(kind, count + 1);
			return true;
		},
		takeLeftOut() {
			const count = leftOut;
			leftOut = 0;
			return count;
		},
	};
}
