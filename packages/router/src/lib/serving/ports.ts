/**
 * Interfaces through which the gateway uses the other components. Each component
 * is built and tested separately; the daemon wires them together.
 */

/** Tokens reserved from a workspace's burst for one request. */
export type Reservation = {
	tokens: number;
	/** Returns the unused tokens. Only the first call has an effect. */
	settle: (usedTokens: number) => void;
};

/** Result of a reservation. */
export type ReservationResult
	= | {granted: true; reservation: Reservation}
	/** `retryAfterMs`: time until the same request would be granted if no other request came. */
		| {granted: false; retryAfterMs: number};

/** Enforces each workspace's rate and burst across all VMs. */
export type TokenLimiter = {
	/** Waits at most `maxWaitMs` milliseconds, and only if the wait ends in a grant. */
	reserve: (workspace: string, tokens: number, maxWaitMs: number) => Promise<ReservationResult>;
};

/** The properties of a model request that decide its placement. */
export type PlacementRequest = {
	service: string;
	workspace: string;
	version: string;
	/** Empty for the bare model. */
	adapter: string;
	/** Chained hashes of the prompt's pieces, from the start of the prompt, seeded with the cache identity. */
	pieces: readonly bigint[];
	promptTokens: number;
	maxOutputTokens: number;
	/** Names of endpoints that this request must not be sent to, such as those already tried. */
	excluded: ReadonlySet<string>;
};

/** The endpoint chosen for a request, and the assumptions behind the choice. */
export type Placement = {
	endpoint: string;
	/** Engine incarnation that the decision assumed; empty if none is known yet. */
	incarnation: string;
	/** Prompt tokens expected to be cached. */
	expectedCachedTokens: number;
	/** Expected time to first token, in milliseconds. */
	expectedMs: number;
};

/** Load that an engine reported with a response or in a load report. */
export type EngineLoad = {
	/** Identifies the engine process; a new incarnation starts with an empty cache. */
	incarnation: string;
	version: string;
	/** Requests being processed. */
	running: number;
	/** Requests queued in the engine. */
	waiting: number;
	/** Prompt tokens not computed yet. */
	pendingPromptTokens: number;
};

/** How a placed request ended. */
export type Outcome = {
	endpoint: string;
	/** `failed`: the endpoint failed; `cancelled`: the caller disconnected. */
	result: 'answered' | 'failed' | 'cancelled';
	load?: EngineLoad;
	promptTokens: number;
	cachedTokens: number;
	outputTokens: number;
	/** Milliseconds from dispatch to the first token; absent if there was none. */
	firstTokenMs?: number;
};

/** Chooses endpoints for requests and updates its estimates from their outcomes. */
export type Placer = {
	/** Returns `undefined` if no endpoint can take the request now. */
	place: (request: PlacementRequest) => Placement | undefined;
	/** Called when the request is sent to the endpoint. */
	started: (request: PlacementRequest, placement: Placement) => void;
	/** Called when the request ended, once for each `started`. */
	finished: (request: PlacementRequest, placement: Placement, outcome: Outcome) => void;
	/** Called with each load report of an engine. */
	observe: (endpoint: string, load: EngineLoad) => void;
};

/** Limits retries to a share of requests, so that retries do not amplify a partial outage. */
export type RetryBudget = {
	/** Counts a request from a caller. */
	deposit: () => void;
	/** Returns whether one more retry may be sent now, and counts it if so. */
	withdraw: () => boolean;
};

/** Splits a prompt into pieces of `pieceBytes` and hashes each together with all pieces before it. */
export type HashPrompt = (identity: {workspace: string; model: string; version: string; adapter: string}, prompt: string, pieceBytes: number) => bigint[];
