/**
 * One daemon's account of the repeats of one service.
 *
 * All daemons together may repeat, in any window, a share of the service's requests plus a fixed number. The
 * requests are those of that window, of the one before, or of the one half a window before, whichever are most. That is at
 * least half of the requests of both windows. So in any window, each daemon repeats at most half the share of its own
 * requests of that window and the one before, plus its part of the fixed number. This can be added up over the daemons,
 * whatever each of them knows of the others, and amounts to the whole share while traffic is steady.
 */

/** Options of {@link createRetryWindow}. */
export type RetryWindowOptions = {
	/** Repeats allowed for each request. */
	share: number;
	/** Length of the window, in milliseconds. */
	windowMs: number;
	/** This daemon's part of the fixed number, now. */
	part: () => number;
	/** A monotonic clock in milliseconds that counts the time for which the machine was suspended, as far as that is known. */
	now: () => number;
};

/** Permission to repeat one request. Until it is used, it counts as a repeat of the current moment. */
export type RetryGrant = {
	/**
	 * To be called right before the request is sent: counts the repeat as of now, also if that was done for an attempt which
	 * reached nothing. Returns false if the request may no longer be repeated.
	 */
	use: () => boolean;
	/** To be called once the request won't be sent on this grant; has no effect if it was used. */
	release: () => void;
	/** Whether it was released, or a use was refused. */
	isReleased: () => boolean;
};

/** The account. */
export type RetryWindow = {
	/** Records a request that was sent this many milliseconds ago. */
	recordRequest: (ageMs: number) => void;
	/** Reserves a repeat; `undefined` if none is left. */
	reserve: () => RetryGrant | undefined;
	/** Requests and repeats in the current window, those reserved included. */
	counts: () => {requests: number; repeats: number};
};

const slicesPerWindow = 40;

/** Slices by which a repeat may arrive after it was sent, and a request may be recorded after it was sent. */
const lateSlices = 2;

/** Slices in which a window of repeats may lie that ends now. */
const repeatSlices = slicesPerWindow + lateSlices + 1;

/** Slices that are kept: those of a window of repeats, and of the requests before it. */
const keptSlices = repeatSlices + slicesPerWindow;

/** Creates an empty account. */
export function createRetryWindow({share, windowMs, part, now}: RetryWindowOptions): RetryWindow {
	const sliceMs = windowMs / slicesPerWindow;
	const requests = new Float64Array(keptSlices);
	const repeats = new Float64Array(keptSlices);
	let current = Math.floor(now() / sliceMs);
	let reserved = 0;

	const indexOf = (slice: number): number => ((slice % keptSlices) + keptSlices) % keptSlices;

	/** Clears the slices that begin now. */
	const advance = (): void => {
		const next = Math.floor(now() / sliceMs);
		for (let slice = Math.max(current + 1, next - keptSlices + 1); slice <= next; slice++) {
			requests[indexOf(slice)] = 0;
			repeats[indexOf(slice)] = 0;
		}

		current = Math.max(current, next);
	};

	const sum = (counts: Float64Array, from: number): number => {
		let total = 0;
		for (let slice = from; slice <= current; slice++) {
			total += counts[indexOf(slice)];
		}

		return total;
	};

	/** Whether so many repeats more are allowed in each window that ends now, whenever it began. */
	const allows = (more: number): boolean => {
		const allowed = part();
		const requestsBefore = slicesPerWindow - 1 - (2 * lateSlices);
		let repeatCount = reserved + more;
		let requestCount = sum(requests, current - requestsBefore + 1);
		for (let slice = current; slice > current - repeatSlices; slice--) {
			repeatCount += repeats[indexOf(slice)];
			requestCount += requests[indexOf(slice - requestsBefore)];
			if (repeatCount > (share / 2 * requestCount) + allowed) {
				return false;
			}
		}

		return true;
	};

	const createGrant = (): RetryGrant => {
		let state: 'reserved' | 'used' | 'released' = 'reserved';
		let usedSlice = 0;
		reserved++;

		/** Returns a use to the reserved ones, to be counted anew. */
		const reserveAgain = (): void => {
			if (state === 'used') {
				if (usedSlice > current - keptSlices) {
					repeats[indexOf(usedSlice)]--;
				}

				state = 'reserved';
				reserved++;
			}
		};

		const release = (): void => {
			if (state === 'reserved') {
				state = 'released';
				reserved--;
			}
		};

		return {
			use() {
				advance();
				reserveAgain();
				if (state === 'released' || !allows(0)) {
					release();
					return false;
				}

				state = 'used';
				reserved--;
				usedSlice = current;
				repeats[indexOf(current)]++;
				return true;
			},
			release,
			isReleased: () => state === 'released',
		};
	};

	return {
		recordRequest(ageMs) {
			advance();
			const slice = Math.floor((now() - ageMs) / sliceMs);
			if (slice > current - keptSlices) {
				requests[indexOf(Math.min(slice, current))]++;
			}
		},
		reserve() {
			advance();
			return allows(1) ? createGrant() : undefined;
		},
		counts() {
			advance();
			const first = current - slicesPerWindow + 1;
			return {requests: sum(requests, first), repeats: reserved + sum(repeats, first)};
		},
	};
}
