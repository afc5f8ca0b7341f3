/**
 * Plans the rolling update of engine weights. Turns are announced ahead, so that no engine
 * gets an answer that would overrun its drain.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';

/** An engine that needs other weights. */
export type ChangeTask = {endpoint: LiveEndpoint; model: string; version: number};

/** A pending task, with the state that its turn depends on. */
export type WaitingTask = {
	task: ChangeTask;
	/** The engine still carries out an earlier order and already counts as away. */
	isAway: boolean;
	/** The engine failed to answer recently. */
	isDoubtful: boolean;
	/** Its weights are too stale for any new request. */
	isUnusable: boolean;
	/** Milliseconds until its announced turn; infinite if none. */
	dueInMs: number;
	/** Expected milliseconds until its last answer in flight ends. */
	lastsMs: number;
};

/** Input of {@link ChangeTurns.plan}. */
export type TurnQuestion = {
	/** Engines of the service that serve or change. */
	engines: number;
	/** Engines among them that are away for a change. */
	away: number;
	waiting: readonly WaitingTask[];
};

/** Tasks to begin now, and the turns of the others. */
export type TurnPlan = {
	due: ChangeTask[];
	later: Array<{task: ChangeTask; inMs: number}>;
};

/** The planner. */
export type ChangeTurns = {
	plan: (question: TurnQuestion) => TurnPlan;
	/**
	 * Updates the estimate of how long a change takes, from the last request sent to the engine
	 * until it runs its new weights.
	 */
	learn: (awayMs: number) => void;
};

/**
 * Maximum ratio of a service's engines that change at the same time. It also holds for engines
 * with stale weights: concurrent loads share the weight store's rate.
 */
const maxChangingRatio = 0.34;

/** Initial estimate. */
const initialAwayMs = 2000;
const awaySmoothing = 0.3;

/** Sort keys, by precedence. */
const sortKeys: ReadonlyArray<(waiting: WaitingTask) => number> = [
	({isDoubtful}) => Number(isDoubtful),
	({isUnusable}) => -Number(isUnusable),
	({dueInMs}) => dueInMs,
	({lastsMs}) => lastsMs,
];

function compare(a: WaitingTask, b: WaitingTask): number {
	for (const sortKey of sortKeys) {
		if (sortKey(a) !== sortKey(b)) {
			return sortKey(a) < sortKey(b) ? -1 : 1;
		}
	}

	return 0;
}

/** Creates a planner. */
export function createChangeTurns(): ChangeTurns {
	let averageAwayMs = initialAwayMs;

	return {
		plan({engines, away, waiting}) {
			const maxAway = Math.max(1, Math.floor(engines * maxChangingRatio));
			const due: ChangeTask[] = [];
			const later: TurnPlan['later'] = [];
			let place = away;
			for (const {task, isAway, dueInMs} of waiting.toSorted(compare)) {
				if (isAway) {
					due.push(task);
					continue;
				}

				if (place < maxAway) {
					due.push(task);
				} else {
					// An announced turn is never postponed; otherwise its due time would slip with
					// every plan.
					later.push({task, inMs: Math.min(dueInMs, Math.floor(place / maxAway) * averageAwayMs)});
				}

				place++;
			}

			return {due, later};
		},
		learn(awayMs) {
			averageAwayMs += awaySmoothing * (awayMs - averageAwayMs);
		},
	};
}
