/** What the gateway for models works with, and what it reports. */
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

/** Bounds of requests, from the daemon's settings. Times are in milliseconds. */
export type ModelGatewayBounds = {
	defaultOutputTokens: number;
	largestOutputTokens: number;
	/** Deadline of a request that names none. */
	deadlineMs: number;
	longestTokenWaitMs: number;
	longestTurnWaitMs: number;
	/** How long a caller may leave a full buffer unread. */
	callerStallMs: number;
	mostAttempts: number;
};

/** What became of one request, for logs, metrics and service levels. */
export type RequestRecord = {
	requestId: string;
	workspace: string;
	service: string;
	/** `answered`, `gone` when the caller left, or the refusal's code. */
	result: string;
	firstTokenMs: number | undefined;
	durationMs: number;
	usage: TokenUsage | undefined;
	attempts: number;
};

/** The parts behind the gateway. */
export type ModelGatewayParts = {
	/** The configuration in force; `undefined` while the daemon may not serve. */
	configuration: () => DocumentIndex | undefined;
	/** Ready replicas of a service by version. */
	versionsOf: (service: string) => ReadyVersions;
	keyRing: KeyRing;
	limiter: TokenLimiter;
	placer: Placer;
	budget: RetryBudget;
	hashPrompt: HashPrompt;
	engines: EngineClient;
	/** The queue in front of a service. */
	queueOf: (service: string) => FairQueue;
	bounds: ModelGatewayBounds;
	onRecord: (record: RequestRecord) => void;
	/** Hears of each endpoint that failed a request. */
	onEndpointFailure: (requestId: string, endpoint: string, error: LayerError) => void;
};
