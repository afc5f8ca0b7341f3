/**
 * Drains an engine before a change of weights: long answers first, while short requests
 * still go there, then everything until its queue is empty.
 */
import {type ChangeTask} from './change-turns.js';
import {type EngineVersions} from './engine-versions.js';

/** Options of {@link createEngineEmptying}. */
export type EngineEmptyingOptions = {
	versions: EngineVersions;
	/** Expected milliseconds until an engine's last answer in flight ends. */
	lastsMs: (id: string) => number;
	/** Called when an engine stops taking requests, so that peers know at once. */
	announce: () => void;
};

/** The engines that are being drained. */
export type EngineEmptying = {
	/** Whether its long answers have ended or are no longer waited for; marks the drain as due. */
	isDrained: (task: ChangeTask, isUnusable: boolean) => boolean;
	/**
	 * Whether its queue is empty or no longer waited for; from the first call on, the engine
	 * gets no requests.
	 */
	isEmpty: (task: ChangeTask, waiting: number) => boolean;
	/** The change has ended; returns the milliseconds for which the engine got no requests, if any. */
	ended: (id: string) => number | undefined;
};

/** Remaining run time that is left to the engine, which finishes running answers before it loads. */
const residualRunMs = 250;

/** Maximum wait for long answers. */
const maxDrainMs = 2500;

/**
 * Maximum wait for the queue. An ordered engine rejects what it has queued, and requests that
 * aren't idempotent can't be retried.
 */
const maxEmptyingMs = 800;

/** Minimum wait, until peers have stopped sending and the reported queue reflects it. */
const minEmptyingMs = 200;

/** Creates the record; no engine is being drained. */
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
			return isUnusable || versions.of(task.endpoint, task.model).isChanging || lastsMs(id) <= residualRunMs || now - since >= maxDrainMs;
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
			return ms >= maxEmptyingMs || (ms >= minEmptyingMs && waiting === 0);
		},
		ended(id) {
			const since = emptyingSince.get(id);
			drainingSince.delete(id);
			emptyingSince.delete(id);
			return since === undefined ? undefined : performance.now() - since;
		},
	};
}
