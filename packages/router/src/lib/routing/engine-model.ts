/**
 * Estimates an endpoint's queue and speed, and updates the estimates from load
 * reports and answers. Times are milliseconds, `now` is the monotonic clock.
 */
import {type EngineLoad} from '../serving/ports.js';
import {maxSurvivalMs, type EngineRecord, type LocalRequest} from './engine-record.js';

/** Options of the estimates; durations in milliseconds. */
export type EngineModelOptions = {
	/** Age at which a reported load is ignored. */
	reportLifeMs: number;
	/** Time during which a new engine process gets less than a full share of work. */
	slowStartMs: number;
	/** Requests of this router that a new process may have in flight at the start. */
	slowStartRequests: number;
};

/** Estimates and updates over engine records. */
export type EngineModel = {
	/** Milliseconds that a request sent now would wait before the engine computes it. */
	queueMs: (engine: EngineRecord, now: number) => number;
	/** Whether slow start allows one more request of this router. */
	hasRoom: (engine: EngineRecord, now: number) => boolean;
	/** Records that this router sent a request, with the estimated time to compute it. */
	start: (engine: EngineRecord, now: number, workMs: number) => LocalRequest;
	/** Records that a local request ended, so that its prompt no longer counts as queued. */
	finish: (engine: EngineRecord, start: LocalRequest) => void;
	/** Takes in a load that the engine measured `lagMs` ago. Returns false and changes nothing when it comes from a process known to be dead. */
	applyLoad: (engine: EngineRecord, now: number, load: EngineLoad, lagMs: number) => boolean;
	/** Learns from the time to first token; `workedTokens` were computed for it. */
	learnSpeed: (engine: EngineRecord, firstTokenMs: number, queuedMs: number, workedTokens: number) => void;
	/** Learns from the time between a request's first token and its end. */
	learnGenerating: (engine: EngineRecord, durationMs: number) => void;
	/** Learns from whether a prefix last used `ageMs` ago was still cached. */
	learnSurvival: (engine: EngineRecord, ageMs: number, cached: boolean) => void;
	/** Records that the engine's cache is lost. */
	forget: (engine: EngineRecord, now: number) => void;
};

const minSurvivalMs = 500;
const minTokensToLearnFrom = 256;
const maxDeadIncarnations = 8;
const maxUnreportedRequests = 256;
/** An engine counts as idle while its estimated queue is less than this share of the time to first token. */
const maxIdleQueueShare = 0.1;
const maxRaise = 0.02;
const generatingSmoothing = 0.1;
/** An answer is overdue after its computing time plus this many times the usual generating time. */
const overdueFactor = 1.5;
/** Slow start ends at `1 + slowStartGrowth` times the initial number of requests. */
const slowStartGrowth = 8;

/** Queue from the reported load, less the time that has passed since it was measured. */
const reportedQueueMs = ({reportedLoad: told, msPerToken, generatingMs}: EngineRecord, now: number, lifeMs: number): number => {
	if (told === undefined || now - told.takenAt > lifeMs) {
		return 0;
	}

	const prefillMs = told.pendingPromptTokens * msPerToken;
	const slotMs = told.running > 0 ? told.waiting * generatingMs / told.running : 0;
	return Math.max(0, Math.max(prefillMs, slotMs) - (now - told.takenAt));
};

/** Queue of the local requests that the reported load can't include, run one after the other. */
const unreportedQueueMs = ({localRequests: own}: EngineRecord, now: number): number => {
	if (own === undefined) {
		return 0;
	}

	let busyUntil = Number.NEGATIVE_INFINITY;
	for (const start of own.unreported) {
		busyUntil = Math.max(busyUntil, start.at) + start.workMs;
	}

	return Math.max(0, busyUntil - now);
};

/**
 * By how much the oldest local request is overdue. An engine with a long queue
 * sends few answers and so little news of its queue; an overdue answer is
 * therefore evidence of a queue.
 */
const overdueMs = ({localRequests: own, generatingMs}: EngineRecord, now: number): number => {
	if (own === undefined || own.inFlight.size === 0) {
		return 0;
	}

	const [oldest] = own.inFlight;
	return now - oldest.at - oldest.workMs - (overdueFactor * generatingMs);
};

const forget = (engine: EngineRecord, now: number): void => {
	engine.generation++;
	engine.adapters = [];
	engine.survivalMs = maxSurvivalMs;
	engine.reportedLoad = undefined;
	engine.lostAt = now;
	if (engine.localRequests !== undefined) {
		engine.localRequests.unreported = [];
	}
};

/** Updates process and version; a change of either means that the cache is lost. */
const updateIdentity = (engine: EngineRecord, now: number, {incarnation, version}: EngineLoad): void => {
	const isRestarted = engine.incarnation !== '' && incarnation !== engine.incarnation;
	const isReloaded = engine.version !== '' && version !== engine.version;
	if (isRestarted) {
		engine.deadIncarnations = [...engine.deadIncarnations, engine.incarnation].slice(-maxDeadIncarnations);
	}

	engine.incarnation = incarnation;
	engine.version = version;
	if (isRestarted || isReloaded) {
		forget(engine, now);
	}
};

/**
 * Creates the model with its options.
 * @internal
 */
export const createEngineModel = (options: EngineModelOptions): EngineModel => ({
	queueMs: (engine, now) => Math.max(reportedQueueMs(engine, now, options.reportLifeMs) + unreportedQueueMs(engine, now), overdueMs(engine, now)),
	hasRoom({lostAt, inFlightCount: unfinished}, now) {
		const since = now - lostAt;
		return since >= options.slowStartMs || unfinished < options.slowStartRequests * (1 + (slowStartGrowth * since / options.slowStartMs));
	},
	start(engine, now, workMs) {
		const start = {at: now, workMs};
		engine.localRequests ??= {inFlight: new Set(), unreported: []};
		engine.inFlightCount++;
		engine.localRequests.inFlight.add(start);
		engine.localRequests.unreported.push(start);
		if (engine.localRequests.unreported.length > maxUnreportedRequests) {
			engine.localRequests.unreported.shift();
		}

		return start;
	},
	finish(engine, start) {
		const {localRequests: own} = engine;
		engine.inFlightCount--;
		if (own === undefined) {
			return;
		}

		own.inFlight.delete(start);
		const index = own.unreported.indexOf(start);
		if (index !== -1) {
			own.unreported.splice(index, 1);
		}
	},
	applyLoad(engine, now, load, lagMs) {
		if (engine.deadIncarnations.includes(load.incarnation)) {
			return false;
		}

		updateIdentity(engine, now, load);
		const takenAt = now - lagMs;
		if (engine.reportedLoad !== undefined && takenAt < engine.reportedLoad.takenAt) {
			return true;
		}

		const {pendingPromptTokens, waiting, running} = load;
		engine.reportedLoad = {
			takenAt, pendingPromptTokens, waiting, running,
		};
		if (engine.localRequests !== undefined) {
			engine.localRequests.unreported = engine.localRequests.unreported.filter(start => start.at > takenAt);
		}

		return true;
	},
	learnSpeed(engine, firstTokenMs, queuedMs, workedTokens) {
		if (workedTokens < minTokensToLearnFrom) {
			return;
		}

		// The time to first token includes queueing, expected or not, so it is an
		// upper bound of the computing time. Only a request that met an idle engine
		// may raise the estimate.
		const bound = firstTokenMs / workedTokens;
		if (bound < engine.msPerToken) {
			engine.msPerToken = bound;
		} else if (queuedMs < firstTokenMs * maxIdleQueueShare) {
			engine.msPerToken *= Math.min(1 + maxRaise, bound / engine.msPerToken);
		}
	},
	learnGenerating(engine, durationMs) {
		engine.generatingMs = engine.generatingMs === 0 ? durationMs : engine.generatingMs + (generatingSmoothing * (durationMs - engine.generatingMs));
	},
	learnSurvival(engine, ageMs, cached) {
		if (cached && ageMs > engine.survivalMs / 2) {
			engine.survivalMs = Math.min(maxSurvivalMs, Math.max(engine.survivalMs, ageMs * 2));
		} else if (!cached && ageMs < engine.survivalMs) {
			engine.survivalMs = Math.max(minSurvivalMs, (engine.survivalMs * 0.7) + (ageMs * 0.3));
		}
	},
	forget,
});
