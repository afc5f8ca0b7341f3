/**
 * Empties an engine before it is ordered to change its weights, in two steps:
 * first it gets no more long answers while short requests still go there, then it
 * gets nothing at all until its queue has begun.
 */
import {type ChangeTask} from './change-turns.js';
import {type EngineVersions} from './engine-versions.js';

/** Options of {@link createEngineEmptying}. */
export type EngineEmptyingOptions = {
	versions: EngineVersions;
	/** Milliseconds until the last answer under way at an engine ends, as expected. */
	lastsMs: (id: string) => number;
	/** Called when an engine is to get nothing more, so that peers know at once. */
	announce: () => void;
};

/** The engines that are being emptied. */
export type EngineEmptying = {
	/** Whether its long answers have ended, or are not waited for; marks it as due. */
	isDrained: (task: ChangeTask, isUnusable: boolean) => boolean;
	/** Whether what it had queued has begun; from the first question on it gets nothing more. */
	isEmpty: (task: ChangeTask, waiting: number) => boolean;
	/** The change has ended; returns for how many milliseconds the engine got nothing, if it came to that. */
	ended: (id: string) => number | undefined;
};

/**
 * Milliseconds of running answers that are left to the engine's own waiting; it
 * hears of the order a moment later and ends what it has begun before it loads.
 */
const drainedMs = 250;

/** Longest time for which an engine's long answers are waited for while short requests still go there, in milliseconds: most end within it. */
const longestDrainMs = 2500;

/**
 * How long an engine's queue may take to empty before it is ordered, in
 * milliseconds. An engine refuses what it has queued when it is ordered, and
 * most callers may be sent to one engine only: on days with 4 of 13 engines
 * crashed, 125 to 142 of 2,300 requests were refused so. From the moment the
 * engine is given up to the order, its peers send it nothing, and the report
 * that shows the queue is about 100 ms old; queues longer than this are of
 * engines so slow that waiting for them would leave the others with old weights.
 */
const emptyingMs = 800;

/** Least time for peers to hear that an engine takes nothing more, in milliseconds: a report travels at once, its effect shows in the next one of the engine. */
const leastEmptyingMs = 150;

/** Opens the record; no engine is being emptied. */
export function createEngineEmptying({versions, lastsMs, announce}: EngineEmptyingOptions): EngineEmptying {
	const drainingSince = new Map<string, number>();
	const emptyingSince = new Map<string, number>();

	return {
		isDrained(task, isUnusable) {
			const {id} = task.endpoint;
			if (emptyingSince.has(id)) {
				return true;
			}

			const now = performance.now();
			const since = drainingSince.get(id) ?? now;
			drainingSince.set(id, since);
			versions.planned(id, task.version, 0);
			return isUnusable || versions.of(task.endpoint, task.model).isChanging || lastsMs(id) <= drainedMs || now - since >= longestDrainMs;
		},
		isEmpty({endpoint: {id}, version}, waiting) {
			const now = performance.now();
			const since = emptyingSince.get(id) ?? now;
			versions.changing(id, version);
			if (!emptyingSince.has(id)) {
				emptyingSince.set(id, now);
				announce();
			}

			const ms = now - since;
			return ms >= emptyingMs || (ms >= leastEmptyingMs && waiting === 0);
		},
		ended(id) {
			const since = emptyingSince.get(id);
			drainingSince.delete(id);
			emptyingSince.delete(id);
			return since === undefined ? undefined : performance.now() - since;
		},
	};
}
