/**
 * Decides whose request goes next when a service is busy: start-time fair
 * queueing by tokens, so that a workspace that sends several times its share
 * waits behind its own requests and not in front of others'.
 */

/** Options of {@link createFairQueue}. */
export type FairQueueOptions = {
	/** How many requests may be under way now; asked again each time one could start. */
	limit: () => number;
	/**
	 * Part of the limit that is kept for workspaces which run less than their
	 * even part; 0.25 by default. Without it a workspace that floods holds every
	 * turn, and each request of another waits for one of its long ones to end.
	 */
	reservedShare?: number;
	/** Most requests of one workspace that wait. */
	mostWaitingPerWorkspace: number;
	/** Most requests that wait in all. */
	mostWaiting: number;
};

/** One request that asks for its turn. */
export type QueueEntry = {
	workspace: string;
	/** Share relative to other workspaces. */
	weight: number;
	/** Tokens that the request is expected to take. */
	cost: number;
	/** Milliseconds that it may wait. */
	longestWaitMs: number;
	/** Takes it out of the queue when the caller goes away. */
	signal: AbortSignal;
};

/** A turn. */
export type QueueTicket = {
	/** 0 for a workspace with little under way, growing with what it has. */
	priority: number;
	/** Gives the turn back; `cost` is what the request really took. */
	release: (cost: number) => void;
};

/** What came of asking for a turn. */
export type QueueResult
	= | {granted: true; ticket: QueueTicket}
		| {granted: false; reason: 'full' | 'late' | 'gone'; retryAfterMs: number};

/** A queue in front of one service. */
export type FairQueue = {
	enter: (entry: QueueEntry) => Promise<QueueResult>;
	/** Lets waiting requests start after the limit may have risen. */
	poke: () => void;
	readonly running: number;
	readonly waiting: number;
};

type Waiter = {
	entry: QueueEntry;
	start: number;
	finish: number;
	settle: (result: QueueResult) => void;
};

type Line = {
	waiters: Waiter[];
	lastFinish: number;
	running: number;
	/** Tokens that wait or run, own weight taken out. */
	outstanding: number;
};

/** Milliseconds that a first guess of one request's service time takes. */
const firstServiceMs = 500;
const serviceSmoothing = 0.1;
const defaultReservedShare = 0.25;
/** Tokens under way up to which a workspace has the best priority; each step doubles them. */
const tokensOfBestPriority = 8192;
const stepsPerDoubling = 2;
const lowestPriority = 9;

/**
 * Engines compute prompts in the order of their priority, so what a workspace
 * has under way must count: with equal priorities a short prompt would wait in
 * the engine behind the long ones of another workspace, past every queue here.
 */
function priorityOf(line: Line): number {
	const steps = Math.floor(stepsPerDoubling * Math.log2(Math.max(1, line.outstanding / tokensOfBestPriority)));
	return Math.min(lowestPriority, steps);
}

/**
 * Creates an empty queue.
 *
 * @example
 * const queue = createFairQueue({limit: () => 16, mostWaitingPerWorkspace: 200, mostWaiting: 2000});
 */
export function createFairQueue(options: FairQueueOptions): FairQueue {
	const lines = new Map<string, Line>();
	let virtualTime = 0;
	let running = 0;
	let waiting = 0;
	let serviceMs = firstServiceMs;
	const reservedShare = options.reservedShare ?? defaultReservedShare;

	const lineOf = (workspace: string) => {
		let line = lines.get(workspace);
		if (line === undefined) {
			line = {
				waiters: [], lastFinish: 0, running: 0, outstanding: 0,
			};
			lines.set(workspace, line);
		}

		return line;
	};

	/** A line that neither waits, runs nor is ahead says no more than an absent one. */
	const forget = (workspace: string, line: Line) => {
		if (line.waiters.length === 0 && line.running === 0 && line.lastFinish <= virtualTime) {
			lines.delete(workspace);
		}
	};

	const waitEstimate = (ahead: number) => ((ahead + 1) * serviceMs) / Math.max(1, options.limit());

	const grant = (waiter: Waiter) => {
		const {entry} = waiter;
		const line = lineOf(entry.workspace);
		virtualTime = Math.max(virtualTime, waiter.start);
		running++;
		line.running++;
		const startedAt = performance.now();
		let released = false;
		waiter.settle({
			granted: true,
			ticket: {
				priority: priorityOf(line),
				release(cost) {
					if (released) {
						return;
					}

					released = true;
					running--;
					line.running--;
					line.outstanding -= entry.cost / entry.weight;
					line.lastFinish += (cost - entry.cost) / entry.weight;
					serviceMs += serviceSmoothing * (performance.now() - startedAt - serviceMs);
					startNext();
					forget(entry.workspace, line);
				},
			},
		});
	};

	/** Turns that are free to a workspace which runs so many now. */
	const roomFor = (ownRunning: number) => {
		const limit = options.limit();
		// A workspace alone must not take what is kept either: another may come at any moment.
		const evenPart = Math.max(1, Math.floor(limit / Math.max(2, lines.size)));
		const reserved = ownRunning < evenPart ? 0 : Math.floor(limit * reservedShare);
		return limit - reserved - running;
	};

	const nextLine = () => {
		let best: Line | undefined;
		for (const line of lines.values()) {
			if (line.waiters.length === 0 || roomFor(line.running) <= 0) {
				continue;
			}

			if (best === undefined || line.waiters[0].start < best.waiters[0].start) {
				best = line;
			}
		}

		return best;
	};

	const startNext = () => {
		for (;;) {
			const waiter = nextLine()?.waiters.shift();
			if (waiter === undefined) {
				return;
			}

			waiting--;
			grant(waiter);
		}
	};

	const leave = (waiter: Waiter, reason: 'late' | 'gone') => {
		const line = lineOf(waiter.entry.workspace);
		const at = line.waiters.indexOf(waiter);
		if (at === -1) {
			return;
		}

		line.waiters.splice(at, 1);
		waiting--;
		line.outstanding -= waiter.entry.cost / waiter.entry.weight;
		line.lastFinish -= waiter.entry.cost / waiter.entry.weight;
		waiter.settle({granted: false, reason, retryAfterMs: waitEstimate(waiting)});
		forget(waiter.entry.workspace, line);
	};

	/** Requests that go before one more of this workspace, if all lines keep busy. */
	const aheadOf = (line: Line) => {
		const inTurn = (line.waiters.length + 1) * Math.max(1, countBusyLines());
		return Math.min(waiting, inTurn - 1);
	};

	const countBusyLines = () => {
		let count = 0;
		for (const line of lines.values()) {
			count += line.waiters.length > 0 ? 1 : 0;
		}

		return count;
	};

	async function enter(entry: QueueEntry): Promise<QueueResult> {
		const line = lineOf(entry.workspace);
		if (roomFor(line.running) <= 0) {
			const retryAfterMs = waitEstimate(aheadOf(line));
			if (line.waiters.length >= options.mostWaitingPerWorkspace || waiting >= options.mostWaiting) {
				return {granted: false, reason: 'full', retryAfterMs};
			}

			// Shed at once what would be late anyway: waiting first and failing
			// then would cost the caller the time to go elsewhere.
			if (retryAfterMs > entry.longestWaitMs) {
				return {granted: false, reason: 'late', retryAfterMs};
			}
		}

		const start = Math.max(virtualTime, line.lastFinish);
		const finish = start + (entry.cost / entry.weight);
		line.lastFinish = finish;
		line.outstanding += entry.cost / entry.weight;
		return new Promise(resolve => {
			const waiter: Waiter = {
				entry, start, finish, settle: resolve,
			};
			watch(waiter);
			line.waiters.push(waiter);
			waiting++;
			startNext();
		});
	}

	/** Answers the waiter at the moment it is given up, never later. */
	function watch(waiter: Waiter): void {
		const {entry, settle} = waiter;
		const timer = setTimeout(() => {
			leave(waiter, 'late');
		}, entry.longestWaitMs);
		const gone = () => {
			leave(waiter, 'gone');
		};

		entry.signal.addEventListener('abort', gone, {once: true});
		waiter.settle = result => {
			clearTimeout(timer);
			entry.signal.removeEventListener('abort', gone);
			settle(result);
		};
	}

	return {
		enter,
		poke: startNext,
		get running() {
			return running;
		},
		get waiting() {
			return waiting;
		},
	};
}
