/**
 * Drains an engine before a change of weights in two phases. First its long requests end,
 * while short ones are still sent to it; then it gets no requests until its queue is empty.
 */
import {type ChangeTask} from './rollout-planner.js';
import {type EngineVersions} from './engine-versions.js';

/** Options of {@link createEngineDrains}. */
export type EngineDrainsOptions = {
	versions: EngineVersions;
	/** Expected milliseconds until an engine's last request in flight ends. */
	remainingMs: (id: string) => number;
	/** Whether a daemon has a request at the engine that hasn't begun, as far as known. */
	hasUnstarted: (id: string) => boolean;
	/** Number of daemons, including this one. */
	daemons: () => number;
	/** Called when an engine stops taking requests, so that peers know at once; resolves once they have been informed. */
	announce: () => Promise<void>;
};

/** What a decision on the queue of an engine depends on. */
export type DrainState = {
	/** Requests in the queue by the engine's own report, which lags behind. */
	waiting: number;
	/** Maximum time in milliseconds that the drain may take if it begins now. */
	maxQueueWaitMs: number;
};

/** The engines that are being drained. */
export type EngineDrains = {
	/** Whether its long requests have ended or the wait for them is over; marks the drain as due. */
	areLongRequestsDone: (task: ChangeTask, isUnusable: boolean) => boolean;
	/**
	 * Whether its queue is empty or the wait for it is over; from the first call on, the engine
	 * gets no requests.
	 */
	isQueueDone: (task: ChangeTask, state: DrainState) => boolean;
	/** Milliseconds until the decision on the engine's queue may change; `undefined` unless it is being emptied. */
	nextCheckMs: (id: string) => number | undefined;
	/** Milliseconds for which the engine has got no requests; `undefined` unless it is being emptied. */
	elapsedMs: (id: string) => number | undefined;
	/** Ends the drain; returns the milliseconds for which the engine got no requests, if any. */
	finish: (id: string) => number | undefined;
};

/** Remaining run time at which long requests count as ended; the engine finishes running requests before it loads. */
const residualRunMs = 250;

/** Maximum wait for long requests. */
const maxLongRequestWaitMs = 2500;

/** Age of an engine's report of its queue. */
const reportLagMs = 200;

/** Longest time that a message between daemons, or a request to an engine, takes to arrive. */
const maxDeliveryMs = 50;

/**
 * Time for which the engine's report of an empty queue is doubted while a daemon knows of a request
 * there that hasn't begun. Daemons report every 400 ms at best, and an answer without events begins
 * for its daemon only when it is complete.
 */
const maxDoubtMs = 600;

/** Interval between checks while the queue empties. */
const checkMs = 200;

type Closed = {
	since: number;
	/** Time at which the engine is ordered even if requests wait. */
	endsAt: number;
	/** Time from which on the engine's report includes all requests that were sent before their daemons heard of the drain. */
	settledAt: number;
	/** Time since which the engine has reported an empty queue. */
	emptySince: number | undefined;
};

/** Creates the drains; initially no engine is being drained. */
export function createEngineDrains(options: EngineDrainsOptions): EngineDrains {
	const {versions, remainingMs, announce} = options;
	const drainingSince = new Map<string, number>();
	const closed = new Map<string, Closed>();

	const close = (id: string, maxQueueWaitMs: number): Closed => {
		const since = performance.now();
		const isAlone = options.daemons() <= 1;
		const drain: Closed = {
			since, endsAt: since + maxQueueWaitMs, settledAt: isAlone ? since + reportLagMs : Number.POSITIVE_INFINITY, emptySince: undefined,
		};
		closed.set(id, drain);
		const announced = announce();
		if (!isAlone) {
			void (async () => {
				try {
					await announced;
				} finally {
					// A daemon may have sent a request just before the announcement arrived.
					drain.settledAt = performance.now() + (maxDeliveryMs * 2) + reportLagMs;
					// Repeated for daemons that the first datagram didn't reach.
					void announce();
				}
			})();
		}

		return drain;
	};

	const elapsedMs = (id: string): number | undefined => {
		const drain = closed.get(id);
		return drain === undefined ? undefined : performance.now() - drain.since;
	};

	return {
		elapsedMs,
		areLongRequestsDone(task, isUnusable) {
			const {id} = task.endpoint;
			if (closed.has(id)) {
				return true;
			}

			const now = performance.now();
			const since = drainingSince.get(id) ?? now;
			drainingSince.set(id, since);
			versions.planned(id, task.version, 0);
			return isUnusable || versions.of(task.endpoint, task.model).isChanging || remainingMs(id) <= residualRunMs || now - since >= maxLongRequestWaitMs;
		},
		isQueueDone({endpoint: {id}, version}, {waiting, maxQueueWaitMs}) {
			const now = performance.now();
			const known = closed.get(id);
			const endsAt = known?.endsAt ?? now + maxQueueWaitMs;
			versions.changing(id, version, endsAt - now);
			const drain = known ?? close(id, maxQueueWaitMs);
			if (now >= drain.endsAt) {
				return true;
			}

			if (now < drain.settledAt || waiting > 0) {
				drain.emptySince = undefined;
				return false;
			}

			drain.emptySince ??= now;
			return !options.hasUnstarted(id) || now - drain.emptySince >= maxDoubtMs;
		},
		nextCheckMs(id) {
			const drain = closed.get(id);
			if (drain === undefined) {
				return undefined;
			}

			const now = performance.now();
			const untilMs = [drain.settledAt - now, drain.endsAt - now].filter(ms => ms > 0 && Number.isFinite(ms));
			return untilMs.length === 0 ? checkMs : Math.min(...untilMs, drain.settledAt > now && Number.isFinite(drain.settledAt) ? Number.POSITIVE_INFINITY : checkMs);
		},
		finish(id) {
			const ms = elapsedMs(id);
			drainingSince.delete(id);
			closed.delete(id);
			return ms;
		},
	};
}
