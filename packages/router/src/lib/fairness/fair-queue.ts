/**
 * Start-time fair queueing in front of one service, by tokens: a workspace that sends several
 * times its share waits behind its own requests and doesn't delay others'.
 */

/** Options of {@link createFairQueue}. */
export type FairQueueOptions = {
	/** Number of requests that may run at once; called whenever one could start. */
	limit: () => number;
	/**
	 * Fraction of the limit reserved for workspaces that run less than their even share; 0.25 by
	 * default. Without it a workspace that floods the queue would hold every slot, and each
	 * request of another would wait for one of its long requests to end.
	 */
	reservedShare?: number;
	/** Maximum number of waiting requests of one workspace. */
	mostWaitingPerWorkspace: number;
	/** Maximum number of waiting requests in all. */
	mostWaiting: number;
};

/** A request that enters the queue. */
export type QueueEntry = {
	workspace: string;
	/** Share relative to other workspaces. */
	weight: number;
	/** Expected cost in tokens. */
	cost: number;
	/** Maximum wait in milliseconds. */
	longestWaitMs: number;
	/** Removes the request from the queue when its caller disconnects. */
	signal: AbortSignal;
};

/** The slot of a running request. */
export type QueueTicket = {
	/** 0 for a workspace with few outstanding tokens, higher with more. */
	priority: number;
	/** Frees the slot; `cost` is the actual cost in tokens. */
	release: (cost: number) => void;
};

/** Outcome of entering the queue. */
export type QueueResult
	= | {granted: true; ticket: QueueTicket}
		| {granted: false; reason: 'full' | 'late' | 'gone'; retryAfterMs: number};

/** A queue in front of one service. */
export type FairQueue = {
	enter: (entry: QueueEntry) => Promise<QueueResult>;
	/** Starts waiting requests after the limit may have risen. */
	startWaiting: () => void;
	readonly running: number;
	readonly waiting: number;
};

type Waiter = {
	entry: QueueEntry;
	startTag: number;
	finishTag: number;
	settle: (result: QueueResult) => void;
};

/** Requests of one workspace. */
type Flow = {
	waiters: Waiter[];
	lastFinishTag: number;
	running: number;
	/** Tokens of waiting and running requests, divided by their weights. */
	outstanding: number;
};

/** Initial estimate of a request's service time. */
const initialServiceMs = 500;
const serviceSmoothing = 0.1;
const defaultReservedShare = 0.25;
/** Outstanding tokens up to which a workspace has the best priority; it falls by {@link stepsPerDoubling} steps each time they double. */
const maxBestPriorityTokens = 8192;
const stepsPerDoubling = 2;
const lowestPriority = 9;

/**
 * Engines compute prompts in the order of their priority, so it depends on a workspace's
 * outstanding tokens. With equal priorities a short prompt, once past this queue, would wait in
 * the engine behind the long prompts of another workspace.
 */
function priorityOf(flow: Flow): number {
	const steps = Math.floor(stepsPerDoubling * Math.log2(Math.max(1, flow.outstanding / maxBestPriorityTokens)));
	return Math.min(lowestPriority, steps);
}

/**
 * Creates an empty queue.
 *
 * @example
 * const queue = createFairQueue({limit: () => 16, mostWaitingPerWorkspace: 200, mostWaiting: 2000});
 */
export function createFairQueue(options: FairQueueOptions): FairQueue {
	const flows = new Map<string, Flow>();
	let virtualTime = 0;
	let running = 0;
	let waiting = 0;
	let serviceMs = initialServiceMs;
	const reservedShare = options.reservedShare ?? defaultReservedShare;

	const flowOf = (workspace: string) => {
		let flow = flows.get(workspace);
		if (flow === undefined) {
			flow = {
				waiters: [], lastFinishTag: 0, running: 0, outstanding: 0,
			};
			flows.set(workspace, flow);
		}

		return flow;
	};

	/** A flow with no requests and no lead in virtual time is equivalent to an absent one. */
	const removeIdle = (workspace: string, flow: Flow) => {
		if (flow.waiters.length === 0 && flow.running === 0 && flow.lastFinishTag <= virtualTime) {
			flows.delete(workspace);
		}
	};

	const estimateWaitMs = (ahead: number) => ((ahead + 1) * serviceMs) / Math.max(1, options.limit());

	const grant = (waiter: Waiter) => {
		const {entry} = waiter;
		const flow = flowOf(entry.workspace);
		virtualTime = Math.max(virtualTime, waiter.startTag);
		running++;
		flow.running++;
		const startedAt = performance.now();
		let released = false;
		waiter.settle({
			granted: true,
			ticket: {
				priority: priorityOf(flow),
				release(cost) {
					if (released) {
						return;
					}

					released = true;
					running--;
					flow.running--;
					flow.outstanding -= entry.cost / entry.weight;
					flow.lastFinishTag += (cost - entry.cost) / entry.weight;
					serviceMs += serviceSmoothing * (performance.now() - startedAt - serviceMs);
					startNext();
					removeIdle(entry.workspace, flow);
				},
			},
		});
	};

	/** Free slots for a workspace that runs `runningInFlow` requests. */
	const freeSlotsFor = (runningInFlow: number) => {
		const limit = options.limit();
		// Even a lone workspace leaves the reserved slots free: another may arrive at any moment.
		const evenShare = Math.max(1, Math.floor(limit / Math.max(2, flows.size)));
		const reserved = runningInFlow < evenShare ? 0 : Math.floor(limit * reservedShare);
		return limit - reserved - running;
	};

	const nextFlow = () => {
		let best: Flow | undefined;
		for (const flow of flows.values()) {
			if (flow.waiters.length === 0 || freeSlotsFor(flow.running) <= 0) {
				continue;
			}

			if (best === undefined || flow.waiters[0].startTag < best.waiters[0].startTag) {
				best = flow;
			}
		}

		return best;
	};

	const startNext = () => {
		for (;;) {
			const waiter = nextFlow()?.waiters.shift();
			if (waiter === undefined) {
				return;
			}

			waiting--;
			grant(waiter);
		}
	};

	const removeWaiter = (waiter: Waiter, reason: 'late' | 'gone') => {
		const flow = flowOf(waiter.entry.workspace);
		const index = flow.waiters.indexOf(waiter);
		if (index === -1) {
			return;
		}

		flow.waiters.splice(index, 1);
		waiting--;
		flow.outstanding -= waiter.entry.cost / waiter.entry.weight;
		flow.lastFinishTag -= waiter.entry.cost / waiter.entry.weight;
		waiter.settle({granted: false, reason, retryAfterMs: estimateWaitMs(waiting)});
		removeIdle(waiter.entry.workspace, flow);
	};

	/** Requests that start before one more of this workspace if all flows stay backlogged. */
	const countAhead = (flow: Flow) => {
		const inTurn = (flow.waiters.length + 1) * Math.max(1, countBackloggedFlows());
		return Math.min(waiting, inTurn - 1);
	};

	const countBackloggedFlows = () => {
		let count = 0;
		for (const flow of flows.values()) {
			count += flow.waiters.length > 0 ? 1 : 0;
		}

		return count;
	};

	async function enter(entry: QueueEntry): Promise<QueueResult> {
		const flow = flowOf(entry.workspace);
		if (freeSlotsFor(flow.running) <= 0) {
			const retryAfterMs = estimateWaitMs(countAhead(flow));
			if (flow.waiters.length >= options.mostWaitingPerWorkspace || waiting >= options.mostWaiting) {
				return {granted: false, reason: 'full', retryAfterMs};
			}

			// Reject at once what would be late: after a wait, the caller has less time to try elsewhere.
			if (retryAfterMs > entry.longestWaitMs) {
				return {granted: false, reason: 'late', retryAfterMs};
			}
		}

		const startTag = Math.max(virtualTime, flow.lastFinishTag);
		const finishTag = startTag + (entry.cost / entry.weight);
		flow.lastFinishTag = finishTag;
		flow.outstanding += entry.cost / entry.weight;
		return new Promise(resolve => {
			const waiter: Waiter = {
				entry, startTag, finishTag, settle: resolve,
			};
			limitWait(waiter);
			flow.waiters.push(waiter);
			waiting++;
			startNext();
		});
	}

	/** Removes the waiter, and settles its result, as soon as its time is over or its caller disconnects. */
	function limitWait(waiter: Waiter): void {
		const {entry, settle} = waiter;
		const timer = setTimeout(() => {
			removeWaiter(waiter, 'late');
		}, entry.longestWaitMs);
		const onAbort = () => {
			removeWaiter(waiter, 'gone');
		};

		entry.signal.addEventListener('abort', onAbort, {once: true});
		waiter.settle = result => {
			clearTimeout(timer);
			entry.signal.removeEventListener('abort', onAbort);
			settle(result);
		};
	}

	return {
		enter,
		startWaiting: startNext,
		get running() {
			return running;
		},
		get waiting() {
			return waiting;
		},
	};
}
