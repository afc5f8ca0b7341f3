/**
 * Tells requests that still wait at an engine that it is about to be ordered to load weights, in time to be
 * withdrawn: the order makes the engine reject all requests that haven't begun.
 */

/** Options of {@link createOrderWatches}. */
export type OrderWatchesOptions = {
	/** Milliseconds until an engine is ordered, at the latest; infinite if no order is announced or it is past. */
	orderInMs: (id: string) => number;
};

/** The watches of one daemon. */
export type OrderWatches = {
	/** Calls `onDue` shortly before the engine is ordered, until the returned function is called. */
	watch: (id: string, onDue: () => void) => () => void;
	/** The announced time of an engine's order may have changed. */
	updated: (id: string) => void;
};

/** Time before the announced order at which requests are withdrawn: a cancellation takes up to 50 ms, and timers of a busy process fire late. */
const withdrawLeadMs = 150;

/** Creates watches; a timer runs only for engines with an announced order and requests. */
export function createOrderWatches({orderInMs}: OrderWatchesOptions): OrderWatches {
	const watches = new Map<string, Set<() => void>>();
	const timers = new Map<string, NodeJS.Timeout>();

	const schedule = (id: string): void => {
		clearTimeout(timers.get(id));
		timers.delete(id);
		const leftMs = orderInMs(id) - withdrawLeadMs;
		if (watches.has(id) && Number.isFinite(leftMs)) {
			timers.set(id, setTimeout(withdraw, Math.max(0, leftMs), id));
		}
	};

	const withdraw = (id: string): void => {
		timers.delete(id);
		if (!Number.isFinite(orderInMs(id))) {
			return;
		}

		const due = [...watches.get(id) ?? []];
		watches.delete(id);
		for (const onDue of due) {
			onDue();
		}
	};

	return {
		watch(id, onDue) {
			// Distinct even if one function watches twice.
			const callback = (): void => {
				onDue();
			};

			const known = watches.get(id);
			if (known === undefined) {
				watches.set(id, new Set([callback]));
				schedule(id);
			} else {
				known.add(callback);
			}

			return () => {
				const rest = watches.get(id);
				if (rest?.delete(callback) === true && rest.size === 0) {
					watches.delete(id);
					schedule(id);
				}
			};
		},
		updated: schedule,
	};
}
