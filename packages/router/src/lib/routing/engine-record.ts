/**
 * What one router knows of one endpoint, as plain data: there are thousands of
 * them, most of them idle. `engine-model.ts` has the arithmetic.
 */
import {seedOfName} from './rendezvous.js';

/** A request that this router started and that has not ended. */
export type OwnStart = {
	readonly at: number;
	/** Milliseconds that the engine is thought to compute for it. */
	readonly workMs: number;
};

/** The newest load that an engine told. */
export type ToldLoad = {
	/** When it held true, on the monotonic clock. */
	takenAt: number;
	pendingPromptTokens: number;
	waiting: number;
	running: number;
};

/** Own requests at an endpoint. */
export type OwnRequests = {
	/** Those that have not ended, the oldest first. */
	open: Set<OwnStart>;
	/** Those that the newest load can't have seen. */
	untold: OwnStart[];
};

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
	/** Processes that others have followed; late news of them says nothing of now. */
	deadIncarnations: readonly string[];
	/** Weights version that the engine runs; empty until it is known. */
	version: string;
	/** Grows whenever the engine's cache is known to be lost. */
	generation: number;
	/** When the cache was last lost, on the monotonic clock. */
	lostAt: number;
	/** Learned time to compute one prompt token, in milliseconds. */
	msPerToken: number;
	/** Learned time from the first token to the last, in milliseconds. */
	generatingMs: number;
	/** Learned time for which a cached prefix stays cached without use, in milliseconds. */
	survivalMs: number;
	/** Adapters in use lately; the newest last. */
	adapters: readonly string[];
	/** Own requests started and not finished. */
	unfinished: number;
	/** Absent until something was told. */
	told?: ToldLoad;
	/** Absent until a first request was sent there. */
	own?: OwnRequests;
};

/** Time for which prefixes are thought to survive before anything was learned. */
export const longestSurvivalMs = 600_000;

const none: readonly string[] = [];

/**
 * The record of an endpoint of which nothing is known.
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
	survivalMs: longestSurvivalMs,
	adapters: none,
	unfinished: 0,
	told: undefined,
	own: undefined,
});
