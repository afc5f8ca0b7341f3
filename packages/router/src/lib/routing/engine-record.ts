/**
 * What one router knows of one endpoint: how fast it is, how much work waits
 * there, and which process of the engine all that was learned of.
 */
import {type EngineLoad} from '../gateway/ports.js';
import {seedOfName} from './rendezvous.js';

/** How engine records estimate; every duration in milliseconds. */
export type EngineRecordOptions = {
	/** Milliseconds to compute one prompt token before anything was learned. */
	initialMsPerToken: number;
	/** Age at which a load report says nothing any more. */
	reportLifeMs: number;
	/** How long a new process of an engine is kept from a full share of work. */
	slowStartMs: number;
	/** Requests of this router that a new process may have at once, at the start. */
	slowStartRequests: number;
};

/** A request that this router started and that has not ended. */
export type OwnStart = {at: number; workMs: number};

/** One endpoint as one router sees it. */
export type EngineRecord = {
	readonly name: string;
	/** Seed of the endpoint in rendezvous hashing, from its name alone. */
	readonly seed: number;
	/** Whether new work may go there, as configuration and membership say. */
	usable: boolean;
	/** Time there and back over the network, in milliseconds. */
	roundTripMs: number;
	/** Process of the engine; empty until it is known. */
	incarnation: string;
	/** Weights version that the engine runs; empty until it is known. */
	version: string;
	/** Grows whenever the engine's cache is known to be lost. */
	generation: number;
	/** Learned time to compute one prompt token, in milliseconds. */
	msPerToken: number;
	/** Learned time for which a cached prefix stays cached without use. */
	survivalMs: number;
	/** Adapters in use lately; the newest last. */
	adapters: string[];
	/** Own requests started and not finished. */
	unfinished: number;
	/** Milliseconds until a request that starts now would be worked on. */
	queueMs: (now: number) => number;
	/** Whether slow start leaves room for one more request of this router. */
	hasRoom: (now: number) => boolean;
	/** An own request left for the endpoint, with the work it is thought to bring. */
	start: (now: number, workMs: number) => OwnStart;
	/** An own request ended, so that none of its prompt waits any more. */
	finish: (start: OwnStart) => void;
	/** A load report came. False, and nothing changes, when it is of a process known to be dead. */
	report: (now: number, load: EngineLoad, lagMs: number) => boolean;
	/** A request's first token came; `workedTokens` were computed for it. */
	learnSpeed: (firstTokenMs: number, queuedMs: number, workedTokens: number) => void;
	/** A request ended this long after its first token. */
	learnGenerating: (durationMs: number) => void;
	/** A prefix last used `ageMs` ago was found cached or lost. */
	learnSurvival: (ageMs: number, cached: boolean) => void;
	/** Membership or configuration says that the cache is lost. */
	forget: (now: number) => void;
};

const longestSurvivalMs = 600_000;
const shortestSurvivalMs = 500;
const fewestTokensToLearnFrom = 256;
const deadProcessesRemembered = 8;
const ownStartsKept = 256;
/** An engine is quiet while the foreseen queue is less than this share of the time. */
const quietShare = 0.1;
const raiseStep = 0.02;
/** An answer is late after its work and so many times the usual time of generating. */
const lateAfter = 1.5;

/**
 * Opens the record of an endpoint.
 * @internal
 */
export const createEngineRecord = (name: string, options: EngineRecordOptions): EngineRecord => {
	let reportedAt = Number.NEGATIVE_INFINITY;
	let reportedTokens = 0;
	let reportedWaiting = 0;
	let reportedRunning = 0;
	let slowStartFrom = Number.NEGATIVE_INFINITY;
	let generatingMs = 0;
	/** Processes that others have followed; late news of them says nothing of now. */
	const dead: string[] = [];
	/** Own starts that the newest report cannot have seen. */
	let unreported: OwnStart[] = [];
	/** Own requests that have not ended, the oldest first. */
	const open = new Set<OwnStart>();

	/**
	 * By how much the oldest own request is late. An engine with a long queue
	 * gives few answers and so little news of its queue; that an answer is late
	 * is news as well.
	 */
	const overdueMs = (now: number): number => {
		const [oldest] = open;
		return oldest === undefined ? 0 : now - oldest.at - oldest.workMs - (lateAfter * generatingMs);
	};

	/** What the report left, worked off at the learned speed since. */
	const reportedMs = (now: number): number => {
		const ageMs = now - reportedAt;
		if (ageMs > options.reportLifeMs) {
			return 0;
		}

		const prefillMs = reportedTokens * record.msPerToken;
		const slotMs = reportedRunning > 0 ? reportedWaiting * generatingMs / reportedRunning : 0;
		return Math.max(0, Math.max(prefillMs, slotMs) - ageMs);
	};

	const ownMs = (now: number): number => {
		let busyUntil = Number.NEGATIVE_INFINITY;
		for (const start of unreported) {
			busyUntil = Math.max(busyUntil, start.at) + start.workMs;
		}

		return Math.max(0, busyUntil - now);
	};

	const record: EngineRecord = {
		name,
		seed: seedOfName(name),
		usable: true,
		roundTripMs: 0,
		incarnation: '',
		version: '',
		generation: 0,
		msPerToken: options.initialMsPerToken,
		survivalMs: longestSurvivalMs,
		adapters: [],
		unfinished: 0,
		queueMs: now => Math.max(reportedMs(now) + ownMs(now), overdueMs(now)),
		hasRoom(now) {
			const since = now - slowStartFrom;
			if (since >= options.slowStartMs) {
				return true;
			}

			return record.unfinished < options.slowStartRequests * (1 + (8 * since / options.slowStartMs));
		},
		start(now, workMs) {
			const start = {at: now, workMs};
			record.unfinished++;
			open.add(start);
			unreported.push(start);
			if (unreported.length > ownStartsKept) {
				unreported.shift();
			}

			return start;
		},
		finish(start) {
			record.unfinished--;
			open.delete(start);
			const index = unreported.indexOf(start);
			if (index !== -1) {
				unreported.splice(index, 1);
			}
		},
		report(now, load, lagMs) {
			if (dead.includes(load.incarnation)) {
				return false;
			}

			const restarted = record.incarnation !== '' && load.incarnation !== record.incarnation;
			if (restarted) {
				dead.push(record.incarnation);
				if (dead.length > deadProcessesRemembered) {
					dead.shift();
				}
			}

			const reloaded = record.version !== '' && load.version !== record.version;
			record.incarnation = load.incarnation;
			record.version = load.version;
			if (restarted || reloaded) {
				record.forget(now);
			}

			const takenAt = now - lagMs;
			if (takenAt < reportedAt) {
				return true;
			}

			reportedAt = takenAt;
			reportedTokens = load.pendingPromptTokens;
			reportedWaiting = load.waiting;
			reportedRunning = load.running;
			unreported = unreported.filter(start => start.at > takenAt);
			return true;
		},
		learnSpeed(firstTokenMs, queuedMs, workedTokens) {
			if (workedTokens < fewestTokensToLearnFrom) {
				return;
			}

			// The time to the first token holds queueing, foreseen or not, so that
			// it bounds the time of computing from above; only a request that met
			// a quiet engine may raise the estimate.
			const bound = firstTokenMs / workedTokens;
			if (bound < record.msPerToken) {
				record.msPerToken = bound;
			} else if (queuedMs < firstTokenMs * quietShare) {
				record.msPerToken *= Math.min(1 + raiseStep, bound / record.msPerToken);
			}
		},
		learnGenerating(durationMs) {
			generatingMs = generatingMs === 0 ? durationMs : (generatingMs * 0.9) + (durationMs * 0.1);
		},
		learnSurvival(ageMs, cached) {
			if (cached && ageMs > record.survivalMs / 2) {
				record.survivalMs = Math.min(longestSurvivalMs, Math.max(record.survivalMs, ageMs * 2));
			} else if (!cached && ageMs < record.survivalMs) {
				record.survivalMs = Math.max(shortestSurvivalMs, (record.survivalMs * 0.7) + (ageMs * 0.3));
			}
		},
		forget(now) {
			record.generation++;
			record.adapters = [];
			record.survivalMs = longestSurvivalMs;
			reportedAt = Number.NEGATIVE_INFINITY;
			unreported = [];
			slowStartFrom = now;
		},
	};
	return record;
};
