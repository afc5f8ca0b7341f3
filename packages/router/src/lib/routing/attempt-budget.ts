/**
 * Budgets for second attempts. In a brown-out every request fails or is slow;
 * if each were tried again, the load would double just when there is too much
 * of it, and the brown-out would last. A budget lets second attempts be no more
 * than a share of recent first ones, so that load grows by that share at most.
 */

/** How large a budget is. */
export type AttemptBudgetOptions = {
	/** Second attempts for each first one. */
	share: number;
	/** Second attempts that are always allowed within one window, for quiet times; asked anew each time where it changes. */
	fewest: number | (() => number);
	/** The fixed part comes on top of the share, in place of being the least of it. Default false. */
	isFewestExtra?: boolean;
	/** Milliseconds for which a first attempt counts. */
	windowMs: number;
};

/** Counts first attempts and grants second ones. */
export type AttemptBudget = {
	/** A request was tried for the first time. */
	deposit: () => void;
	/** Takes leave for one further attempt; false when the budget is spent. */
	withdraw: () => boolean;
};

const slices = 10;

/** A budget over a sliding window of ten slices, on the monotonic clock. */
const createAttemptBudget = ({share, fewest, windowMs, isFewestExtra = false}: AttemptBudgetOptions): AttemptBudget => {
	const firsts = new Float64Array(slices);
	const seconds = new Float64Array(slices);
	const sliceMs = windowMs / slices;
	const least = typeof fewest === 'number' ? () => fewest : fewest;
	let slice = Math.floor(performance.now() / sliceMs);

	/** Empties the slices that have left the window. */
	const advance = (): number => {
		const current = Math.floor(performance.now() / sliceMs);
		for (let passed = Math.max(slice + 1, current - slices + 1); passed <= current; passed++) {
			firsts[passed % slices] = 0;
			seconds[passed % slices] = 0;
		}

		slice = Math.max(slice, current);
		return slice % slices;
	};

	const sum = (values: Float64Array): number => {
		let total = 0;
		for (const value of values) {
			total += value;
		}

		return total;
	};

	return {
		deposit() {
			const index = advance();
			firsts[index]++;
		},
		withdraw() {
			const index = advance();
			const earned = sum(firsts) * share;
			if (sum(seconds) + 1 > (isFewestExtra ? least() + earned : Math.max(least(), earned))) {
				return false;
			}

			seconds[index]++;
			return true;
		},
	};
};

/**
 * A budget for retries: at most a fifth of the first attempts of the last ten
 * seconds, three in quiet times.
 *
 * @example
 * const budget = createRetryBudget();
 * budget.deposit();
 * if (budget.withdraw()) {
 *   // Try again elsewhere.
 * }
 */
export const createRetryBudget = (options: Partial<AttemptBudgetOptions> = {}): AttemptBudget =>
	createAttemptBudget({
		share: 0.2, fewest: 3, windowMs: 10_000, ...options,
	});

/**
 * A budget for hedges, that is second attempts while the first still runs: at
 * most one in twenty. A hedge costs as much as a retry and often gains nothing.
 */
export const createHedgeBudget = (options: Partial<AttemptBudgetOptions> = {}): AttemptBudget =>
	createAttemptBudget({
		share: 0.05, fewest: 1, windowMs: 10_000, ...options,
	});
