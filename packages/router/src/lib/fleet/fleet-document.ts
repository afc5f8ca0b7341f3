/**
 * The operator's document as the router uses it: routes, services, workspaces and limits on
 * callers. Adapters decode their platform's format into these types, which don't depend on it.
 */

/**
 * Whether a request may run more than once.
 *
 * - `idempotent`: may run more than once.
 * - `once`: may run at most once.
 * - `stream`: has a response of events; may run at most once unless it can be resumed.
 */
export type RequestKind = 'idempotent' | 'once' | 'stream';

/** Part of a route's traffic that one service receives. */
export type RouteTarget = {
	service: string;
	/** Share of the route's requests, relative to the sum over all its targets. */
	weight: number;
};

/** Handling of the requests for one host and path prefix. */
export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash; the longest matching prefix of the path wins. */
	prefix: string;
	kind: RequestKind;
	targets: readonly RouteTarget[];
	/** Timeout of a request in milliseconds. */
	timeoutMs: number;
	/** Target time to the response (for streams, to the first event) in milliseconds. */
	targetMs: number;
	/** Target maximum pause between two events of a stream, in milliseconds. */
	targetPauseMs: number | undefined;
	/** Maximum number of endpoints that one request may be sent to. */
	maxEndpoints: number;
	/** Priority; 0 is the most urgent. */
	rank: number;
	/** Requests need no key. */
	isPublic: boolean;
	/** A broken stream may be resumed on another endpoint after the last event that arrived. */
	isResumable: boolean;
	/** Requests list the parts of their prompt, which engines cache. */
	hasPromptParts: boolean;
};

/** Capacity and models of a service's engines. */
export type EngineTraits = {
	/** Requests that one engine runs concurrently. */
	slots: number;
	/** Tokens that fit into one engine's memory, for running requests and cached parts together. */
	memoryTokens: number;
	/** Size of one cached token in transfer, in bytes; 0 if the operator doesn't state it. */
	tokenBytes: number;
	/** Bandwidth of one engine's link, in bytes per millisecond. */
	linkBytesPerMs: number;
	/** Models that the engines run. */
	models: readonly string[];
};

/** A group of interchangeable endpoints. */
export type Service = {
	name: string;
	/** Maximum number of connections that one endpoint accepts from all callers together. */
	maxConnections: number;
	/** Set if the endpoints are model engines. */
	engine: EngineTraits | undefined;
};

/** A store of cached prompt parts for engines. */
export type CacheStore = {
	name: string;
	/** IP:PORT. */
	address: string;
	dataCentre: string;
	/** Bandwidth of its link for all engines together, in bytes per millisecond. */
	linkBytesPerMs: number;
};

/** A tenant of the fleet. */
export type Workspace = {
	name: string;
	/** SHA-256 of each key, in hexadecimal; the keys themselves are not stored. */
	keyDigests: readonly string[];
	/** Overrides the route's rank if set. */
	rank: number | undefined;
	/** Cached prompt parts are not shared with other workspaces. */
	isIsolated: boolean;
	/** Units per second over all VMs; 0 means no limit. */
	rate: number;
	/** Units that may exceed the rate in a burst. */
	burst: number;
	/** Whether units are tokens rather than requests. */
	countsTokens: boolean;
	/** Units charged for a request that states no token count. */
	defaultUnits: number;
};

/** Limits on callers' requests and connections. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	/** Timeout for a request's header, in milliseconds. */
	headerMs: number;
	/** Idle timeout of a connection, in milliseconds. */
	idleMs: number;
};

/** One version of the operator's document. */
export type FleetDocument = {
	/** Increases with each change, in uneven steps. */
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, Service>;
	cacheStores: readonly CacheStore[];
	workspaces: readonly Workspace[];
	limits: CallerLimits;
};
