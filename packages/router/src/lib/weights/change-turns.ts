/**
 * Which engines change their weights now, and when the others will.
 *
 * The turns are planned ahead and told to all daemons, so that an engine gets no
 * answer that would outlast its turn. Ordered without a plan, engines waited for
 * answers of 1 to 4 s to end and served nobody meanwhile: they were away for 2.8
 * to 4.5 s for a load of 1.3 s, by the logs of played days, and for 1.7 to 2 s
 * with it.
 */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';

/** One engine that should get other weights. */
export type ChangeTask = {endpoint: LiveEndpoint; model: string; version: number};

/** A task that has not begun, with what its turn depends on. */
export type WaitingTask = {
	task: ChangeTask;
	/** The engine still carries out an older order: it is empty, and has its place among those that are away. */
	isAway: boolean;
	/** The engine did not answer a moment ago. */
	isDoubtful: boolean;
	/** Its weights are too old for any new request. */
	isUnusable: boolean;
	/** Milliseconds until its turn as planned before; infinite when it has none. */
	dueInMs: number;
	/** Milliseconds until its last answer under way ends, as expected. */
	lastsMs: number;
};

/** What a plan rests on. */
export type TurnQuestion = {
	/** Engines of the service that serve or change. */
	engines: number;
	/** Those of them that are away for a change. */
	away: number;
	waiting: readonly WaitingTask[];
};

/** Who begins, and when the others will. */
export type TurnPlan = {
	due: ChangeTask[];
	later: Array<{task: ChangeTask; inMs: number}>;
};

/** The planner. */
export type ChangeTurns = {
	plan: (question: TurnQuestion) => TurnPlan;
	/** An engine was away for so many milliseconds, from the last request that it got until it had its weights. */
	learn: (awayMs: number) => void;
};

/**
 * Part of a service's serving engines that change at the same time. Engines
 * finish their runs before they load, and stand empty afterwards, so those that
 * are left carry nearly all. Four played days on which engines crash as well
 * served 0.786 to 0.814 of their worth with a third, 0.697 to 0.774 with a half,
 * 0.785 to 0.828 with a quarter (three days), which takes longest to be done.
 *
 * It holds for engines with weights that are too old as well: loads share the
 * rate of the weight store, so more of them at once are done no sooner.
 */
const changingShare = 0.34;

/** First guess of how long an engine is away, in milliseconds. */
const firstAwayMs = 2000;
const learnStep = 0.3;

/** The order of turns: each of these decides where those before it are equal. */
const orders: ReadonlyArray<(waiting: WaitingTask) => number> = [
	({isDoubtful}) => Number(isDoubtful),
	({isUnusable}) => -Number(isUnusable),
	({dueInMs}) => dueInMs,
	({lastsMs}) => lastsMs,
];

function compare(a: WaitingTask, b: WaitingTask): number {
	for (const order of orders) {
		if (order(a) !== order(b)) {
			return order(a) < order(b) ? -1 : 1;
		}
	}

	return 0;
}

/** Creates a planner. */
export function createChangeTurns(): ChangeTurns {
	let usualAwayMs = firstAwayMs;

	return {
		plan({engines, away, waiting}) {
			const most = Math.max(1, Math.floor(engines * changingShare));
			const due: ChangeTask[] = [];
			const later: TurnPlan['later'] = [];
			let place = away;
			for (const {task, isAway, dueInMs} of waiting.toSorted(compare)) {
				if (isAway) {
					due.push(task);
					continue;
				}

				if (place < most) {
					due.push(task);
				} else {
					// A turn that was told is not put off: it would be a turn's length away until the very moment that it comes.
					later.push({task, inMs: Math.min(dueInMs, Math.floor(place / most) * usualAwayMs)});
				}

				place++;
			}

			return {due, later};
		},
		learn(awayMs) {
			usualAwayMs += learnStep * (awayMs - usualAwayMs);
		},
	};
}
