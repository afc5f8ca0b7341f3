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
	/** Called when an engine stops taking requests, so that peers know at once. */
	announce: () => void;
};

/** The engines that are being drained. */
export type EngineDrains = {
	/** Whether its long requests have ended or the wait for them is over; marks the drain as due. */
	areLongRequestsDone: (task: ChangeTask, isUnusable: boolean) => boolean;
	/**
	 * Whether its queue is empty or the wait for it is over; from the first call on, the engine
	 * gets no requests.
	 */
	isQueueEmpty: (task: ChangeTask, queuedRequests: number) => boolean;
	/** Ends the drain; returns the milliseconds for which the engine got no requests, if any. */
	finish: (id: string) => number | undefined;
};

/** Remaining run time at which long requests count as ended; the engine finishes running requests before it loads. */
const residualRunMs = 250;

/** Maximum wait for long requests. */
const maxLongRequestWaitMs = 2500;

/**
 * Maximum wait for the queue. An engine rejects its queued requests when it is ordered to
 * change, and those that aren't idempotent can't be retried.
 */
const maxQueueWaitMs = 800;

/** Minimum wait, until peers have stopped sending and the reported queue reflects it. */
const minQueueWaitMs = 200;

/** Creates the drains; initially no engine is being drained. */
export function createEngineDrains({versions, remainingMs, announce}: EngineDrainsOptions): EngineDrains {
	const drainingSince = new Map<string, number>();
	const closedSince = new Map<string, number>();

	return {
		areLongRequestsDone(task, isUnusable) {
			const {id} = task.endpoint;
			if (closedSince.has(id)) {
				return true;
			}

			const now = performance.now();
			const since = drainingSince.get(id) ?? now;
			drainingSince.set(id, since);
			versions.planned(id, task.version, 0);
			return isUnusable || versions.of(task.endpoint, task.model).isChanging || remainingMs(id) <= residualRunMs || now - since >= maxLongRequestWaitMs;
		},
		isQueueEmpty({endpoint: {id}, version}, queuedRequests) {
			const now = performance.now();
			const since = closedSince.get(id) ?? now;
			versions.changing(id, version);
			if (!closedSince.has(id)) {
				closedSince.set(id, now);
				announce();
			}

			const ms = now - since;
			return ms >= maxQueueWaitMs || (ms >= minQueueWaitMs && queuedRequests === 0);
		},
		finish(id) {
			const since = closedSince.get(id);
			drainingSince.delete(id);
			closedSince.delete(id);
			return since === undefined ? undefined : performance.now() - since;
		},
	};
}
