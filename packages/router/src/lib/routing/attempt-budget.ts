/**
 * Budgets for further attempts (retries and hedges). When a service is
 * overloaded, most requests fail or are slow; retrying each of them would double
 * the load and prolong the overload. A budget limits further attempts to a share
 * of recent first attempts, so that load grows by at most that share.
 */

/** Size of a budget. */
export type AttemptBudgetOptions = {
	/** Further attempts allowed for each first attempt. */
	share: number;
	/** Further attempts that are always allowed within one window, for low traffic. A function is called on every withdrawal, for a number that changes. */
	minimum: number | (() => number);
	/** Adds `minimum` to the share instead of taking the larger of the two. Default false. */
	isMinimumAdded?: boolean;
	/** Length of the sliding window, in milliseconds. */
	windowMs: number;
};

/** Counts first attempts and grants further ones. */
export type AttemptBudget = {
	/** Records a first attempt. */
	deposit: () => void;
	/** Claims one further attempt; false when the budget is exhausted. */
	withdraw: () => boolean;
};

const sliceCount = 10;

/** Further attempts are kept for one slice more, since the oldest and the current one are only partly within a window. */
const keptSlices = sliceCount + 1;

/** Creates a budget over a sliding window of ten slices, on the monotonic clock. */
const createAttemptBudget = ({share, minimum, windowMs, isMinimumAdded = false}: AttemptBudgetOptions): AttemptBudget => {
	const firstAttempts = new Float64Array(keptSlices);
	const extraAttempts = new Float64Array(keptSlices);
	const sliceMs = windowMs / sliceCount;
	const currentMinimum = typeof minimum === 'number' ? () => minimum : minimum;
	let slice = Math.floor(performance.now() / sliceMs);

	/** Clears the slices that are no longer kept and returns the index of the current one. */
	const advance = (): number => {
		const current = Math.floor(performance.now() / sliceMs);
		for (let passed = Math.max(slice + 1, current - keptSlices + 1); passed <= current; passed++) {
			firstAttempts[passed % keptSlices] = 0;
			extraAttempts[passed % keptSlices] = 0;
		}

		slice = Math.max(slice, current);
		return slice % keptSlices;
	};

	const sum = (values: Float64Array, slices: number): number => {
		let total = 0;
		for (let passed = Math.max(0, slice - slices + 1); passed <= slice; passed++) {
			total += values[passed % keptSlices];
		}

		return total;
	};

	return {
		deposit() {
			const index = advance();
			firstAttempts[index]++;
		},
		withdraw() {
			const index = advance();
			const allowedByShare = sum(firstAttempts, sliceCount) * share;
			if (sum(extraAttempts, keptSlices) + 1 > (isMinimumAdded ? currentMinimum() + allowedByShare : Math.max(currentMinimum(), allowedByShare))) {
				return false;
			}

			extraAttempts[index]++;
			return true;
		},
	};
};

/**
 * Creates a budget for retries: at most a fifth of the first attempts of the last
 * ten seconds, or three when traffic is low.
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
		share: 0.2, minimum: 3, windowMs: 10_000, ...options,
	});

/**
 * Creates a budget for hedges, that is, further attempts while the first still
 * runs: at most one per twenty first attempts. A hedge costs as much as a retry
 * and often gains nothing.
 */
export const createHedgeBudget = (options: Partial<AttemptBudgetOptions> = {}): AttemptBudget =>
	createAttemptBudget({
		share: 0.05, minimum: 1, windowMs: 10_000, ...options,
	});
