/**
 * The operator's document as the router uses it: routes, services, workspaces
 * and limits on callers. Adapters decode their platform's format into these
 * types; nothing here knows how it was written.
 */

/**
 * What may be repeated of a request.
 *
 * - `idempotent`: may run more than once.
 * - `once`: may run once at most.
 * - `stream`: an answer in events; may run once at most unless it can be resumed.
 */
export type RequestKind = 'idempotent' | 'once' | 'stream';

/** A part of a route's traffic that one service takes. */
export type RouteTarget = {
	service: string;
	/** Share of the route's requests, against the sum over all its targets. */
	weight: number;
};

/** Where requests of one host and path go. */
export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash; the longest one that begins the path wins. */
	prefix: string;
	kind: RequestKind;
	targets: readonly RouteTarget[];
	/** Longest time in milliseconds that the operator wants a request kept waiting. */
	timeoutMs: number;
	/** Time in milliseconds within which an answer (a stream's first event) is on time. */
	targetMs: number;
	/** Longest pause in milliseconds between two events of an answer on time; for streams. */
	targetPauseMs: number | undefined;
	/** Most endpoints that one request may be sent to. */
	mostEndpoints: number;
	/** 0 is the most urgent. */
	rank: number;
	/** No key is asked for. */
	isPublic: boolean;
	/** A broken stream may go on at another endpoint behind the last event that arrived. */
	isResumable: boolean;
	/** Requests name the parts of their prompt, which engines cache. */
	hasPromptParts: boolean;
};

/** What the engines of a service are made of. */
export type EngineTraits = {
	/** Requests that one engine runs at the same time. */
	slots: number;
	/** Tokens that one engine's memory holds, running requests and cached parts together. */
	memoryTokens: number;
	/** What one cached token takes on a link, in bytes; 0 where the operator doesn't say. */
	tokenBytes: number;
	/** Bytes that an engine's own link carries in a millisecond. */
	linkBytesPerMs: number;
	/** Models that the engines run. */
	models: readonly string[];
};

/** Endpoints that do the same work. */
export type Service = {
	name: string;
	/** Most connections that one endpoint takes from all callers together. */
	mostConnections: number;
	/** Set for a service of model engines. */
	engine: EngineTraits | undefined;
};

/** A store that keeps prompt parts for engines. */
export type CacheStore = {
	name: string;
	/** IP:PORT. */
	address: string;
	dataCentre: string;
	/** Bytes that its link carries in a millisecond, for all engines together. */
	linkBytesPerMs: number;
};

/** A tenant of the fleet. */
export type Workspace = {
	name: string;
	/** SHA-256 of each key, in hexadecimal; the keys themselves are kept nowhere. */
	keyDigests: readonly string[];
	/** Goes before the route's rank where set. */
	rank: number | undefined;
	/** Shares no cached prompt part with any other workspace. */
	isIsolated: boolean;
	/** Units a second over all VMs; 0 is no limit. */
	rate: number;
	/** Units above the rate that may come at once. */
	burst: number;
	/** Whether units are tokens; else requests. */
	countsTokens: boolean;
	/** Units that a request without stated tokens counts as. */
	plainUnits: number;
};

/** Bounds on what a caller may send. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	/** Milliseconds for a request's header to arrive. */
	headerMs: number;
	/** Milliseconds for which a connection may stay idle. */
	idleMs: number;
};

/** One version of the operator's document. */
export type FleetDocument = {
	/** Grows with each change, in uneven steps. */
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, Service>;
	cacheStores: readonly CacheStore[];
	workspaces: readonly Workspace[];
	limits: CallerLimits;
};
