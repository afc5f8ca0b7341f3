/**
 * Estimates of an endpoint's queue and speed, and how news change them. Times
 * are milliseconds, `now` is the monotonic clock.
 */
import {type EngineLoad} from '../serving/ports.js';
import {longestSurvivalMs, type EngineRecord, type OwnStart} from './engine-record.js';

/** How endpoints are estimated; every duration in milliseconds. */
export type EngineModelOptions = {
	/** Age at which a told load says nothing any more. */
	reportLifeMs: number;
	/** How long a new process of an engine is kept from a full share of work. */
	slowStartMs: number;
	/** Requests of this router that a new process may have at once, at the start. */
	slowStartRequests: number;
};

/** The arithmetic over records. */
export type EngineModel = {
	/** Milliseconds until a request that starts now would be worked on. */
	queueMs: (engine: EngineRecord, now: number) => number;
	/** Whether slow start leaves room for one more request of this router. */
	hasRoom: (engine: EngineRecord, now: number) => boolean;
	/** An own request left for the endpoint, with the work it is thought to bring. */
	start: (engine: EngineRecord, now: number, workMs: number) => OwnStart;
	/** An own request ended, so that none of its prompt waits any more. */
	finish: (engine: EngineRecord, start: OwnStart) => void;
	/** The engine told its load `lagMs` ago. False, and nothing changes, when that was a process known to be dead. */
	tell: (engine: EngineRecord, now: number, load: EngineLoad, lagMs: number) => boolean;
	/** A request's first token came; `workedTokens` were computed for it. */
	learnSpeed: (engine: EngineRecord, firstTokenMs: number, queuedMs: number, workedTokens: number) => void;
	/** A request ended this long after its first token. */
	learnGenerating: (engine: EngineRecord, durationMs: number) => void;
	/** A prefix last used `ageMs` ago was found cached or lost. */
	learnSurvival: (engine: EngineRecord, ageMs: number, cached: boolean) => void;
	/** The engine's cache is lost. */
	forget: (engine: EngineRecord, now: number) => void;
};

const shortestSurvivalMs = 500;
const fewestTokensToLearnFrom = 256;
const deadProcessesRemembered = 8;
const ownStartsKept = 256;
/** An engine is quiet while the foreseen queue is less than this share of the time. */
const quietShare = 0.1;
const raiseStep = 0.02;
const generatingStep = 0.1;
/** An answer is late after its work and so many times the usual time of generating. */
const lateAfter = 1.5;
/** How many times as many requests slow start allows at its end as at its beginning, less one. */
const slowStartGrowth = 8;

/** What the engine told, worked off at the learned speed since. */
const toldMs = ({told, msPerToken, generatingMs}: EngineRecord, now: number, lifeMs: number): number => {
	if (told === undefined || now - told.takenAt > lifeMs) {
		return 0;
	}

	const prefillMs = told.pendingPromptTokens * msPerToken;
	const slotMs = told.running > 0 ? told.waiting * generatingMs / told.running : 0;
	return Math.max(0, Math.max(prefillMs, slotMs) - (now - told.takenAt));
};

/** Own requests that the told load can't hold, one after the other. */
const untoldMs = ({own}: EngineRecord, now: number): number => {
	if (own === undefined) {
		return 0;
	}

	let busyUntil = Number.NEGATIVE_INFINITY;
	for (const start of own.untold) {
		busyUntil = Math.max(busyUntil, start.at) + start.workMs;
	}

	return Math.max(0, busyUntil - now);
};

/**
 * By how much the oldest own request is late. An engine with a long queue gives
 * few answers and so little news of its queue; that an answer is late is news
 * as well.
 */
const overdueMs = ({own, generatingMs}: EngineRecord, now: number): number => {
	if (own === undefined || own.open.size === 0) {
		return 0;
	}

	const [oldest] = own.open;
	return now - oldest.at - oldest.workMs - (lateAfter * generatingMs);
};

const forget = (engine: EngineRecord, now: number): void => {
	engine.generation++;
	engine.adapters = [];
	engine.survivalMs = longestSurvivalMs;
	engine.told = undefined;
	engine.lostAt = now;
	if (engine.own !== undefined) {
		engine.own.untold = [];
	}
};

/** Takes over process and version; a change of either loses the cache. */
const identify = (engine: EngineRecord, now: number, {incarnation, version}: EngineLoad): void => {
	const isRestarted = engine.incarnation !== '' && incarnation !== engine.incarnation;
	const isReloaded = engine.version !== '' && version !== engine.version;
	if (isRestarted) {
		engine.deadIncarnations = [...engine.deadIncarnations, engine.incarnation].slice(-deadProcessesRemembered);
	}

	engine.incarnation = incarnation;
	engine.version = version;
	if (isRestarted || isReloaded) {
		forget(engine, now);
	}
};

/**
 * Opens the arithmetic with its options.
 * @internal
 */
export const createEngineModel = (options: EngineModelOptions): EngineModel => ({
	queueMs: (engine, now) => Math.max(toldMs(engine, now, options.reportLifeMs) + untoldMs(engine, now), overdueMs(engine, now)),
	hasRoom({lostAt, unfinished}, now) {
		const since = now - lostAt;
		return since >= options.slowStartMs || unfinished < options.slowStartRequests * (1 + (slowStartGrowth * since / options.slowStartMs));
	},
	start(engine, now, workMs) {
		const start = {at: now, workMs};
		engine.own ??= {open: new Set(), untold: []};
		engine.unfinished++;
		engine.own.open.add(start);
		engine.own.untold.push(start);
		if (engine.own.untold.length > ownStartsKept) {
			engine.own.untold.shift();
		}

		return start;
	},
	finish(engine, start) {
		const {own} = engine;
		engine.unfinished--;
		if (own === undefined) {
			return;
		}

		own.open.delete(start);
		const index = own.untold.indexOf(start);
		if (index !== -1) {
			own.untold.splice(index, 1);
		}
	},
	tell(engine, now, load, lagMs) {
		if (engine.deadIncarnations.includes(load.incarnation)) {
			return false;
		}

		identify(engine, now, load);
		const takenAt = now - lagMs;
		if (engine.told !== undefined && takenAt < engine.told.takenAt) {
			return true;
		}

		const {pendingPromptTokens, waiting, running} = load;
		engine.told = {
			takenAt, pendingPromptTokens, waiting, running,
		};
		if (engine.own !== undefined) {
			engine.own.untold = engine.own.untold.filter(start => start.at > takenAt);
		}

		return true;
	},
	learnSpeed(engine, firstTokenMs, queuedMs, workedTokens) {
		if (workedTokens < fewestTokensToLearnFrom) {
			return;
		}

		// The time to the first token holds queueing, foreseen or not, so that
		// it bounds the time of computing from above; only a request that met
		// a quiet engine may raise the estimate.
		const bound = firstTokenMs / workedTokens;
		if (bound < engine.msPerToken) {
			engine.msPerToken = bound;
		} else if (queuedMs < firstTokenMs * quietShare) {
			engine.msPerToken *= Math.min(1 + raiseStep, bound / engine.msPerToken);
		}
	},
	learnGenerating(engine, durationMs) {
		engine.generatingMs = engine.generatingMs === 0 ? durationMs : engine.generatingMs + (generatingStep * (durationMs - engine.generatingMs));
	},
	learnSurvival(engine, ageMs, cached) {
		if (cached && ageMs > engine.survivalMs / 2) {
			engine.survivalMs = Math.min(longestSurvivalMs, Math.max(engine.survivalMs, ageMs * 2));
		} else if (!cached && ageMs < engine.survivalMs) {
			engine.survivalMs = Math.max(shortestSurvivalMs, (engine.survivalMs * 0.7) + (ageMs * 0.3));
		}
	},
	forget,
});
