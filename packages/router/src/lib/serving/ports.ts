/**
 * What the gateway asks of the parts behind it. Each part is built and tested
 * on its own; the daemon wires them together.
 */

/** Tokens that were taken from a workspace's burst for one request. */
export type Reservation = {
	tokens: number;
	/** Returns what was not used; called once, further calls change nothing. */
	settle: (usedTokens: number) => void;
};

/** What came of asking for tokens. */
export type ReservationResult
	= | {granted: true; reservation: Reservation}
	/** `retryAfterMs` is when the same request would pass if nothing else came. */
		| {granted: false; retryAfterMs: number};

/** Keeps each workspace inside its rate and burst over all VMs together. */
export type TokenLimiter = {
	/** Waits at most `longestWaitMs`, and only when the wait will end in a grant. */
	reserve: (workspace: string, tokens: number, longestWaitMs: number) => Promise<ReservationResult>;
};

/** One request for a model, as far as its placement is concerned. */
export type PlacementRequest = {
	service: string;
	workspace: string;
	version: string;
	/** Empty for the bare model. */
	adapter: string;
	/** Chained hashes of the prompt's pieces, shallow to deep, under the cache identity. */
	pieces: readonly bigint[];
	promptTokens: number;
	maxOutputTokens: number;
	/** Names of endpoints that this request must not go to (again). */
	excluded: ReadonlySet<string>;
};

/** Where a request goes, and what that decision relies on. */
export type Placement = {
	endpoint: string;
	/** Process of the engine that the decision assumed; empty when none is known yet. */
	incarnation: string;
	/** Prompt tokens that the decision expects to be cached. */
	expectedCachedTokens: number;
	/** Milliseconds to the first token that the decision expects. */
	expectedMs: number;
};

/** What an engine said of itself along with an answer or a load report. */
export type EngineLoad = {
	/** Process of the engine; another one has lost all that was cached. */
	incarnation: string;
	version: string;
	/** Requests that the engine works on. */
	running: number;
	/** Requests that wait in the engine. */
	waiting: number;
	/** Prompt tokens that wait to be computed. */
	pendingPromptTokens: number;
};

/** What became of a placed request. */
export type Outcome = {
	endpoint: string;
	/** `failed`: the endpoint is to blame; `cancelled`: the caller went away. */
	result: 'answered' | 'failed' | 'cancelled';
	load?: EngineLoad;
	promptTokens: number;
	cachedTokens: number;
	outputTokens: number;
	/** Milliseconds from dispatch to the first token; absent when none came. */
	firstTokenMs?: number;
};

/** Decides where requests go and learns from what became of them. */
export type Placer = {
	/** `undefined` when no endpoint may take the request now. */
	place: (request: PlacementRequest) => Placement | undefined;
	/** The request has left for the endpoint. */
	started: (request: PlacementRequest, placement: Placement) => void;
	/** The request ended; called once for each `started`. */
	finished: (request: PlacementRequest, placement: Placement, outcome: Outcome) => void;
	/** News of an engine from a load report. */
	observe: (endpoint: string, load: EngineLoad) => void;
};

/** Keeps retries a bounded share of requests, so that a brown-out is not multiplied. */
export type RetryBudget = {
	/** Counts a request that came from a caller. */
	deposit: () => void;
	/** Whether one more retry may leave now; counts it when it may. */
	withdraw: () => boolean;
};

/** Cuts a prompt into pieces and hashes each with all before it. */
export type HashPrompt = (identity: {workspace: string; model: string; version: string; adapter: string}, prompt: string, pieceBytes: number) => bigint[];
