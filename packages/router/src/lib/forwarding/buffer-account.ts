/**
 * Accounts for the bytes that a daemon buffers for callers and endpoints that read slowly, and aborts
 * requests while they exceed the limit: first those that may be repeated and whose bytes have made no
 * progress for longest, last those that can't be repeated.
 *
 * Made for small VMs with many callers that stop reading in the middle of long responses.
 */

/** A request whose bytes are buffered. */
export type BufferOwner = {
	/** Whether the caller may send the request again. */
	mayRepeat: () => boolean;
	/** Bytes that the peer has taken so far; progress shows in its growth. */
	takenBytes: () => number;
	/** Ends the request and releases its bytes. */
	abort: () => void;
	/** The request's body is arriving, and nothing has been sent on. */
	isUpload?: boolean;
};

/** The buffered bytes of one request. */
export type RequestBuffer = {
	/** Records bytes that were buffered; negative once they were taken. */
	add: (bytes: number) => void;
	/** Releases all bytes. */
	close: () => void;
};

/** The account of one daemon. */
export type BufferAccount = {
	open: (owner: BufferOwner) => RequestBuffer;
	/** Whether there is space for a new request; aborts requests without progress to make some. */
	hasSpace: () => boolean;
	/** Aborts requests whose bodies have stopped arriving, the oldest of them first, to make room for others. */
	abortStalledUploads: () => void;
	/** Aborts a fraction of all requests, whatever is buffered for them: uploads first, then those that may be repeated. Returns their number. */
	abortFraction: (ratio: number) => number;
	bytes: () => number;
	/** Number of requests that were aborted. */
	abortedCount: () => number;
};

/** Options of {@link createBufferAccount}. */
export type BufferAccountOptions = {
	/** Upper bound on the buffered bytes of all requests. */
	maxBytes: number;
	/** Whether there is no space for new requests, however little is buffered. */
	isMemoryLow?: () => boolean;
	/** Called when a request is aborted for space; `bytes` were buffered for it without progress for `idleMs`. */
	onAborted?: (aborted: {bytes: number; idleMs: number}) => void;
};

type Entry = {owner: BufferOwner; bytes: number; takenBytes: number; progressAt: number};

/** Fraction of the limit from which new requests need space; the rest is for the responses of those in flight. */
const fullRatio = 0.9;

/** Time in milliseconds without progress after which a request is aborted in favour of new ones; callers on slow links read more often. */
const stalledMs = 1000;

/** Bodies that are aborted at a time, and the interval in milliseconds at which that may happen. */
const stalledUploadsAtOnce = 64;
const abortUploadsMs = 100;

/** Progress is sampled this often from half of the limit on, so that it is known once space is needed. */
const sampleMs = 250;
const sampledRatio = 0.5;

type RankedEntry = {entry: Entry; rank: number};

/** Requests of a lower rank are aborted first. */
const abortRankOf = ({isUpload, mayRepeat}: BufferOwner): number => {
	if (isUpload === true) {
		return 0;
	}

	return mayRepeat() ? 1 : 2;
};

/** Creates an empty account. */
export function createBufferAccount({maxBytes, isMemoryLow = () => false, onAborted}: BufferAccountOptions): BufferAccount {
	const entries = new Set<Entry>();
	let total = 0;
	let aborted = 0;
	let sampledAt = Number.NEGATIVE_INFINITY;
	let uploadsAbortedAt = Number.NEGATIVE_INFINITY;

	const updateProgress = (entry: Entry, now: number): void => {
		const takenBytes = entry.owner.takenBytes();
		if (takenBytes !== entry.takenBytes) {
			entry.takenBytes = takenBytes;
			entry.progressAt = now;
		}
	};

	const sampleProgress = (): void => {
		const now = performance.now();
		if (total < maxBytes * sampledRatio || now - sampledAt < sampleMs) {
			return;
		}

		sampledAt = now;
		for (const entry of entries) {
			updateProgress(entry, now);
		}
	};

	const isBefore = (a: Entry, b: Entry): boolean =>
		a.owner.mayRepeat() === b.owner.mayRepeat() ? a.progressAt < b.progressAt : a.owner.mayRepeat();

	const leastWorthKeeping = (now: number): Entry | undefined => {
		let least: Entry | undefined;
		for (const entry of entries) {
			updateProgress(entry, now);
			if (entry.bytes > 0 && (least === undefined || isBefore(entry, least))) {
				least = entry;
			}
		}

		return least;
	};

	const release = (entry: Entry): void => {
		entries.delete(entry);
		total -= entry.bytes;
		entry.bytes = 0;
	};

	const abort = (entry: Entry): void => {
		release(entry);
		aborted++;
		entry.owner.abort();
	};

	const abortForSpace = (entry: Entry, now: number): void => {
		onAborted?.({bytes: entry.bytes, idleMs: now - entry.progressAt});
		abort(entry);
	};

	/** Aborts requests until less than `limit` bytes are left, except those with progress within `minIdleMs`. */
	const abortUntilBelow = (limit: number, minIdleMs: number): void => {
		const now = performance.now();
		const isAbove = (): boolean => total >= limit;
		while (isAbove()) {
			const entry = leastWorthKeeping(now);
			if (entry === undefined || now - entry.progressAt < minIdleMs) {
				return;
			}

			abortForSpace(entry, now);
		}
	};

	return {
		open(owner) {
			const entry: Entry = {
				owner, bytes: 0, takenBytes: owner.takenBytes(), progressAt: performance.now(),
			};
			entries.add(entry);
			return {
				add(bytes) {
					if (!entries.has(entry)) {
						return;
					}

					if (entry.bytes === 0) {
						entry.progressAt = performance.now();
					}

					entry.bytes += bytes;
					total += bytes;
					abortUntilBelow(maxBytes + 1, 0);
				},
				close() {
					release(entry);
				},
			};
		},
		hasSpace() {
			sampleProgress();
			abortUntilBelow(maxBytes * fullRatio, stalledMs);
			return total < maxBytes * fullRatio && !isMemoryLow();
		},
		abortStalledUploads() {
			const now = performance.now();
			if (now - uploadsAbortedAt < abortUploadsMs) {
				return;
			}

			uploadsAbortedAt = now;
			const stalled: Entry[] = [];
			for (const entry of entries) {
				updateProgress(entry, now);
				if (entry.owner.isUpload === true && now - entry.progressAt >= stalledMs) {
					stalled.push(entry);
				}
			}

			for (const entry of stalled.toSorted((a, b) => a.progressAt - b.progressAt).slice(0, stalledUploadsAtOnce)) {
				abortForSpace(entry, now);
			}
		},
		abortFraction(ratio) {
			const now = performance.now();
			const inOrder: RankedEntry[] = [];
			for (const entry of entries) {
				updateProgress(entry, now);
				inOrder.push({entry, rank: abortRankOf(entry.owner)});
			}

			inOrder.sort((a, b) => a.rank - b.rank || a.entry.progressAt - b.entry.progressAt);
			const count = Math.ceil(inOrder.length * ratio);
			for (const {entry} of inOrder.slice(0, count)) {
				abort(entry);
			}

			return count;
		},
		bytes: () => total,
		abortedCount: () => aborted,
	};
}
