/** Runs the events of a replay by time; events of equal time run in the order in which they were added. */

type Event = {atMs: number; order: number; run: () => void};

/** A queue of events, implemented as a binary heap. */
export type EventQueue = {
	/** Time of the running event, in milliseconds since the start. */
	now: () => number;
	/** Schedules `run` at a time; when that has passed, now, after the events already queued for now. */
	at: (atMs: number, run: () => void) => void;
	/** Runs all events; calls `tick` with each new time before its first event. */
	runAll: (tick: (atMs: number) => void) => void;
};

const isBefore = (a: Event, b: Event): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/** Creates an empty queue at time 0. */
export const createEventQueue = (): EventQueue => {
	const heap: Event[] = [];
	let now = 0;
	let order = 0;

	const push = (event: Event): void => {
		let index = heap.length;
		heap.push(event);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(event, heap[parent])) {
				break;
			}

			heap[index] = heap[parent];
			index = parent;
		}

		heap[index] = event;
	};

	const sink = (event: Event): void => {
		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
				child++;
			}

			if (child >= heap.length || !isBefore(heap[child], event)) {
				break;
			}

			heap[index] = heap[child];
			index = child;
		}

		heap[index] = event;
	};

	const pop = (): Event | undefined => {
		const first = heap[0];
		const last = heap.pop();
		if (last !== undefined && heap.length > 0) {
			sink(last);
		}

		return first;
	};

	return {
		now: () => now,
		at(atMs, run) {
			order++;
			push({atMs: Math.max(now, atMs), order, run});
		},
		runAll(tick) {
			for (let event = pop(); event !== undefined; event = pop()) {
				if (event.atMs > now) {
					now = event.atMs;
					tick(now);
				}

				event.run();
			}
		},
	};
};
