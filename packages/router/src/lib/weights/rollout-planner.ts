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
	/** Milliseconds in which it should run its new weights; equal for engines with the same weights. */
	msLeft?: number;
};

/** Load of one engine. */
export type EngineUse = {
	/** Expected milliseconds until all requests that were sent there have begun; 0 if all have. */
	queueMs: number;
	/** Fraction of its slots or of its memory in use, whichever is higher. */
	usedRatio: number;
};

/** Input of {@link RolloutPlanner.plan}. */
export type PlanInput = {
	/** Number of engines of the service that serve or change. */
	engines: number;
	/** Number of those engines that are changing. */
	changing: number;
	pending: readonly PendingTask[];
	/** Loads of the service's engines; idle if left out. */
	uses?: readonly EngineUse[];
};

/** Tasks to start now, and the announced starts of the others. */
export type RolloutPlan = {
	due: ChangeTask[];
	later: Array<{task: ChangeTask; inMs: number}>;
	/** Number of rounds that the rollout still takes, including the current one, if as many engines change at once as ever may. */
	rounds: number;
};

/** The planner. */
export type RolloutPlanner = {
	plan: (input: PlanInput) => RolloutPlan;
	/**
	 * Updates the estimate of how long a change takes, from the last request sent to the engine
	 * until it runs its new weights.
	 */
	recordDowntime: (downtimeMs: number) => void;
	/** Updates the estimate of how long an engine counts as changing, from its turn until it runs its new weights. */
	recordTurn: (turnMs: number) => void;
};

/**
 * Maximum ratio of a service's engines that change at the same time, at low load. It also applies to
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
	({msLeft = Number.POSITIVE_INFINITY}) => msLeft,
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

const maxAtOnce = (engines: number): number => Math.max(1, Math.floor(engines * maxChangingRatio));

/** Initial estimate of the time for which an engine counts as changing: its downtime and the wait for long requests. */
const initialTurnMs = 2500;

/** Factor on the expected turn, since turns that take longer than the average must end in time too. */
const turnReserve = 1.05;

/** Smoothing of the use of a service, which is observed several times per second. */
const useSmoothing = 0.2;

/** Time without pending changes after which the next one begins another rollout. */
const rolloutGapMs = 1000;

const mean = (values: readonly number[]): number => values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Fraction of the service's capacity in use. An engine computes one prompt after the other, so the fraction of
 * engines with work ahead is the fraction of the time for which they compute.
 */
const usedCapacity = (uses: readonly EngineUse[]): number =>
	Math.max(mean(uses.map(({usedRatio}) => usedRatio)), mean(uses.map(({queueMs}) => Number(queueMs > 0))));

/** Number of engines that must change at the same time for each to be done in its time, if a turn takes `turnMs`. */
function neededAtOnce(pending: readonly PendingTask[], changing: number, turnMs: number): number {
	const times = pending.map(({msLeft = Number.POSITIVE_INFINITY}) => msLeft).toSorted((a, b) => a - b);
	return Math.max(1, ...times.map((msLeft, index) => (index + 1 + changing) / Math.max(0, Math.floor(msLeft / turnMs))));
}

/** Creates a planner. */
export function createRolloutPlanner(): RolloutPlanner {
	let averageDowntimeMs = initialDowntimeMs;
	let averageTurnMs = initialTurnMs;
	const useOfServices = new Map<string, {at: number; smoothed: number; peak: number}>();

	/** Highest smoothed use of a service's capacity since its rollout began: engines that change are idle, which would count as spare. */
	const peakUse = (pending: readonly PendingTask[], used: number): number => {
		const service = pending.at(0)?.task.endpoint.service ?? '';
		const now = performance.now();
		const known = useOfServices.get(service);
		const last = known === undefined || now - known.at > rolloutGapMs ? {smoothed: used, peak: used} : known;
		const smoothed = last.smoothed + (useSmoothing * (used - last.smoothed));
		const peak = Math.max(last.peak, smoothed);
		useOfServices.set(service, {at: now, smoothed, peak});
		return peak;
	};

	/**
	 * At low load a third of the engines change at once. Under pressure as many as the service can spare, but no
	 * fewer than are needed to end in time. While queues are long that is more again: a turn takes longer then,
	 * and an engine goes on serving its queue.
	 */
	const maxChangingOf = ({engines, changing, pending, uses = []}: PlanInput): number => {
		const max = maxAtOnce(engines);
		const spare = Math.floor(engines * (1 - peakUse(pending, usedCapacity(uses))));
		if (spare >= max) {
			return max;
		}

		const longestQueueMs = Math.max(0, ...uses.map(({queueMs}) => queueMs));
		const turnMs = Math.max(averageTurnMs, longestQueueMs + averageDowntimeMs) * turnReserve;
		return Math.min(max, Math.max(spare, Math.ceil(neededAtOnce(pending, changing, turnMs))));
	};

	return {
		plan(input) {
			const {changing, pending} = input;
			const maxChanging = maxChangingOf(input);
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

			return {due, later, rounds: 1 + (later.length / maxAtOnce(input.engines))};
		},
		recordDowntime(downtimeMs) {
			averageDowntimeMs += downtimeSmoothing * (downtimeMs - averageDowntimeMs);
		},
		recordTurn(turnMs) {
			averageTurnMs += downtimeSmoothing * (turnMs - averageTurnMs);
		},
	};
}
