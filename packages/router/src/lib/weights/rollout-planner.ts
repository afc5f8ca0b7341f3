/**
 * Plans the rolling update of engine weights. Changes are announced ahead, so that no engine
 * gets a request that would outlast its drain.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';

/** An engine that needs other weights. */
export type ChangeTask = {endpoint: LiveEndpoint; model: string; version: number};

/** A pending task, with the state that its position depends on. */
export type PendingTask = {
	task: ChangeTask;
	/** The engine still carries out an earlier order and already counts as changing. */
	isChanging: boolean;
	/** The engine failed to answer recently. */
	isDoubtful: boolean;
	/** Its weights are too stale for any new request. */
	isUnusable: boolean;
	/** It will wait for its last requests before it loads, and gets no others meanwhile. */
	isOnlyWaiting: boolean;
	/** Milliseconds until its announced start; infinite if none. */
	dueInMs: number;
	/** Expected milliseconds until its last request in flight ends. */
	remainingMs: number;
};

/** Input of {@link RolloutPlanner.plan}. */
export type PlanInput = {
	/** Number of engines of the service that serve or change. */
	engines: number;
	/** Number of those engines that are changing. */
	changing: number;
	pending: readonly PendingTask[];
};

/** Tasks to start now, and the announced starts of the others. */
export type RolloutPlan = {
	due: ChangeTask[];
	later: Array<{task: ChangeTask; inMs: number}>;
};

/** The planner. */
export type RolloutPlanner = {
	plan: (input: PlanInput) => RolloutPlan;
	/**
	 * Updates the estimate of how long a change takes, from the last request sent to the engine
	 * until it runs its new weights.
	 */
	recordDowntime: (downtimeMs: number) => void;
};

/**
 * Maximum ratio of a service's engines that change at the same time. It also applies to
 * engines with unusable weights, because concurrent loads share the weight store's rate.
 */
const maxChangingRatio = 0.34;

/** Initial estimate of the time for which a change takes an engine out of service. */
const initialDowntimeMs = 2000;
const downtimeSmoothing = 0.3;

/** Sort keys, by precedence. */
const sortKeys: ReadonlyArray<(pending: PendingTask) => number> = [
	({isDoubtful}) => Number(isDoubtful),
	({isUnusable}) => -Number(isUnusable),
	({dueInMs}) => dueInMs,
	({remainingMs}) => remainingMs,
];

function compare(a: PendingTask, b: PendingTask): number {
	for (const sortKey of sortKeys) {
		if (sortKey(a) !== sortKey(b)) {
			return sortKey(a) < sortKey(b) ? -1 : 1;
		}
	}

	return 0;
}

/** Maximum number of engines that change at the same time. */
export const maxChangingOf = (engines: number): number => Math.max(1, Math.floor(engines * maxChangingRatio));

/** Creates a planner. */
export function createRolloutPlanner(): RolloutPlanner {
	let averageDowntimeMs = initialDowntimeMs;

	return {
		plan({engines, changing, pending}) {
			const maxChanging = maxChangingOf(engines);
			const due: ChangeTask[] = [];
			const later: RolloutPlan['later'] = [];
			let position = changing;
			for (const {task, isChanging, isOnlyWaiting, dueInMs} of pending.toSorted(compare)) {
				if (isChanging || isOnlyWaiting) {
					due.push(task);
					continue;
				}

				if (position < maxChanging) {
					due.push(task);
				} else {
					// An announced start is never postponed; otherwise it would slip with
					// every plan.
					later.push({task, inMs: Math.min(dueInMs, Math.floor(position / maxChanging) * averageDowntimeMs)});
				}

				position++;
			}

			return {due, later};
		},
		recordDowntime(downtimeMs) {
			averageDowntimeMs += downtimeSmoothing * (downtimeMs - averageDowntimeMs);
		},
	};
}
