/**
 * State that one router keeps for one endpoint, as plain data: there are
 * thousands of them, most of them idle. `engine-model.ts` holds the estimates.
 */
import {seedOfName} from './rendezvous.js';

/** A request that this router sent and that has not ended. */
export type LocalRequest = {
	readonly at: number;
	/** Estimated milliseconds that the engine computes for it. */
	readonly workMs: number;
};

/** The newest load that an engine reported. */
export type ReportedLoad = {
	/** When it was measured, on the monotonic clock. */
	takenAt: number;
	pendingPromptTokens: number;
	waiting: number;
	running: number;
};

/** Requests of this router at an endpoint. */
export type LocalRequests = {
	/** Requests that have not ended, oldest first. */
	inFlight: Set<LocalRequest>;
	/** Requests sent after the newest load was measured. */
	unreported: LocalRequest[];
};

/** One endpoint as one router sees it. */
export type EngineRecord = {
	readonly name: string;
	/** Seed of the endpoint in rendezvous hashing, derived from its name alone. */
	readonly seed: number;
	/** Whether configuration and membership allow new work there. */
	usable: boolean;
	/** Network round-trip time, in milliseconds. */
	roundTripMs: number;
	/** Incarnation of the engine's process; empty until known. */
	incarnation: string;
	/** Processes that have been replaced by newer ones; late reports from them are ignored. */
	deadIncarnations: readonly string[];
	/** Weights version that the engine runs; empty until known. */
	version: string;
	/** Incremented whenever the engine's cache is known to be lost. */
	generation: number;
	/** When the cache was last lost, on the monotonic clock. */
	lostAt: number;
	/** Learned time to compute one prompt token, in milliseconds. */
	msPerToken: number;
	/** Learned time from the first token to the last, in milliseconds. */
	generatingMs: number;
	/** Learned time for which an unused prefix stays cached, in milliseconds. */
	survivalMs: number;
	/** Recently used adapters, the newest last. */
	adapters: readonly string[];
	/** Number of local requests that have not ended. */
	inFlightCount: number;
	/** Absent until the engine has reported a load. */
	reportedLoad?: ReportedLoad;
	/** Absent until this router has sent a first request there. */
	localRequests?: LocalRequests;
};

/** Upper bound and initial value of `survivalMs`. */
export const maxSurvivalMs = 600_000;

const none: readonly string[] = [];

/**
 * Creates the record of an endpoint of which nothing is known.
 * @internal
 */
export const createEngineRecord = (name: string, initialMsPerToken: number): EngineRecord => ({
	name,
	seed: seedOfName(name),
	usable: true,
	roundTripMs: 0,
	incarnation: '',
	deadIncarnations: none,
	version: '',
	generation: 0,
	lostAt: Number.NEGATIVE_INFINITY,
	msPerToken: initialMsPerToken,
	generatingMs: 0,
	survivalMs: maxSurvivalMs,
	adapters: none,
	inFlightCount: 0,
	reportedLoad: undefined,
	localRequests: undefined,
});
