/** Dependencies of the model gateway, and the records that it reports. */
import {type DocumentIndex} from '../configuration/document-index.js';
import {type EngineClient} from '../endpoints/engine-client.js';
import {type ReadyVersions} from '../endpoints/version-choice.js';
import {type LayerError} from '../errors/layer-error.js';
import {type FairQueue} from '../fairness/fair-queue.js';
import {type KeyRing} from '../configuration/key-ring.js';
import {
	type HashPrompt, type Placer, type RetryBudget, type TokenLimiter,
} from '../serving/ports.js';
import {type TokenUsage} from './usage.js';

/** Limits of requests, from the daemon's settings. Times are in milliseconds. */
export type ModelGatewayBounds = {
	defaultOutputTokens: number;
	largestOutputTokens: number;
	/** Default deadline of a request, which is also the longest. */
	deadlineMs: number;
	longestTokenWaitMs: number;
	longestTurnWaitMs: number;
	/** How long a full write buffer may stay undrained. */
	callerStallMs: number;
	mostAttempts: number;
};

/** The outcome of one request, for logs, metrics and service levels. */
export type RequestRecord = {
	requestId: string;
	workspace: string;
	service: string;
	/** `answered`, `engine_` and the status of an engine's error response, `gone` when the caller disconnected, or the error code. */
	result: string;
	firstTokenMs: number | undefined;
	durationMs: number;
	usage: TokenUsage | undefined;
	attempts: number;
};

/** Dependencies of the gateway. */
export type ModelGatewayParts = {
	/** The active configuration; `undefined` while the daemon may not serve. */
	configuration: () => DocumentIndex | undefined;
	/** Ready replicas of a service by weights version. */
	versionsOf: (service: string) => ReadyVersions;
	keyRing: KeyRing;
	limiter: TokenLimiter;
	placer: Placer;
	budget: RetryBudget;
	hashPrompt: HashPrompt;
	engines: EngineClient;
	/** The fair queue of a service. */
	queueOf: (service: string) => FairQueue;
	bounds: ModelGatewayBounds;
	onRecord: (record: RequestRecord) => void;
	/** Called for each endpoint that failed a request. */
	onEndpointFailure: (requestId: string, endpoint: string, error: LayerError) => void;
};
