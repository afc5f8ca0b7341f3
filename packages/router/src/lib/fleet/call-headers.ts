/**
 * Contents of request and response headers, as the router uses them. The platform's adapter
 * parses and writes the headers themselves.
 */

/** A part of a prompt that several requests may share. */
export type PromptPart = {
	id: string;
	tokens: number;
};

/** Contents of a caller's request headers. */
export type CallFacts = {
	/** Id of this attempt by the caller. */
	requestId: string | undefined;
	/** Milliseconds until the caller gives up. */
	remainingMs: number | undefined;
	/** SHA-256 of the caller's key, in hexadecimal. */
	keyDigest: string | undefined;
	model: string | undefined;
	promptTokens: number | undefined;
	/** Upper bound of the tokens that may be generated. */
	outputTokens: number | undefined;
	/** From the shallowest to the deepest; the last one is specific to the request. */
	parts: readonly PromptPart[];
	/** Id of the last event of the stream that the caller has. */
	resumeAfter: string | undefined;
	/** Id of the caller's earlier attempt that brought the first event of the stream. */
	resumes: string | undefined;
};

/** Contents of the headers that the router adds to a request. */
export type Dispatch = {
	/** Endpoint process that the request is meant for; any other refuses it. */
	endpointId: string;
	/** Milliseconds until the deadline. */
	remainingMs: number;
	/** Workspace of the caller; absent on public routes. */
	workspace: string | undefined;
	/** Weights version that the endpoint was chosen for; an engine with another one refuses the request. */
	weights: number | undefined;
	/** Cached parts are shared only between requests with the same scope. */
	cacheScope: string | undefined;
	/** 0 is the most urgent, 9 the least. */
	priority: number | undefined;
	/** Id of the last event that the caller already has. */
	resumeAfter: string | undefined;
	/** IP:PORT from which the engine may fetch missing cached parts. */
	fetchFrom: string | undefined;
	/** IP:PORT of a cache store to which the engine sends parts that it has processed. */
	saveTo: string | undefined;
};

/** Contents of an endpoint's response headers. */
export type ResponseFacts = {
	/** Id of the request that the response belongs to. */
	requestId: string | undefined;
	/** Status and body are signed by the endpoint. */
	isSigned: boolean;
	/** The endpoint has not run the request and never will. */
	provesNotRun: boolean;
	/** The endpoint is another process, or runs other weights, than the request was meant for. */
	isMisdirected: boolean;
	/** Endpoint process that responded, if stated. */
	endpointId: string | undefined;
	/** Weights version that generated the response. */
	weights: number | undefined;
	load: EndpointLoadReport | undefined;
	/** Requests per second that the endpoint accepts from all daemons together. */
	limit: NamedLimit;
	/** Requests that the endpoint can turn away in a second before it falls over. */
	bearableRejections: NamedLimit;
	/** The endpoint process is shutting down and wants no new requests. */
	isLeaving: boolean;
	/** Time in milliseconds for which the endpoint wants no requests from this daemon; 0 if it states none. */
	backoffMs: number;
	/** The response has neither a length nor chunks and ends with its connection. */
	isUnframed: boolean;
	/** The body has a content encoding, so it is not what the endpoint generated. */
	isEncoded: boolean;
};

/** Requests per second; `unreadable` if the stated limit is not a valid rate. */
export type NamedLimit = number | 'none' | 'unreadable';

/** Load that an endpoint reports with a response. */
export type EndpointLoadReport = {
	running: number;
	waiting: number;
	slots: number;
	/** How long work takes on the endpoint's machine at this moment, relative to the usual (1); absent if it doesn't state it. */
	paceRatio?: number;
};

/** Parses and writes request and response headers; header lists are flat, names and values alternate. */
export type CallHeaders = {
	readCall: (rawHeaders: readonly string[]) => CallFacts;
	/** Headers for the endpoint: the caller's without hop-by-hop headers and those that the router sets. */
	forEndpoint: (rawHeaders: readonly string[], dispatch: Dispatch) => string[];
	/** The same headers, with this many milliseconds left instead of those stated, if there are any. */
	withRemaining: (rawHeaders: readonly string[], remainingMs: number) => string[];
	readResponse: (rawHeaders: readonly string[], status: number) => ResponseFacts;
	/** Headers for the caller: the endpoint's without hop-by-hop headers. */
	forCaller: (rawHeaders: readonly string[]) => string[];
	/** Headers of an error response that the router itself generates; `challenges` adds an authentication challenge. */
	forRefusal: (facts: {requestId: string | undefined; retryAfterMs: number | undefined; challenges: boolean}) => string[];
};
