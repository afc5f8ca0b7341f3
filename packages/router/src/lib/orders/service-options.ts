/** Limits, context and options of calls to plain services. */
import {type Endpoint, type PlainService} from '../configuration/document.js';
import {type TableClient} from '../platform/platform.js';
import {type ResponseSink} from './response-sink.js';
import {type EndpointTransport} from './endpoint-transport.js';
import {type ExchangeLimits} from './exchange.js';
import {type KeyedLimits} from './keyed-call.js';
import {type RequestBody} from './request-body.js';
import {type ReadyCall, type RetryBudget} from './run-call.js';
import {type ServiceDirectory} from './unknown-orders.js';

/** Limits of a service proxy, all with defaults. */
export type ServiceLimits = ExchangeLimits & KeyedLimits & {
	/** Maximum number of attempts per call. */
	mostAttempts: number;
	/** Bytes of an idempotent call's body that are kept for a retry. */
	replayBytes: number;
	/** Longest request body of a call with a key, in bytes. */
	mostKeyedBytes: number;
	/** Total bytes of such bodies in memory; calls beyond it are refused as not run. */
	mostHeldBytes: number;
	/** Timeout of a status look-up in milliseconds. */
	lookUpMs: number;
	/** Milliseconds that an order with an outcome is kept. */
	keepMs: number;
	/** Milliseconds during which a failed write of an outcome is retried. */
	persistMs: number;
	/** Milliseconds after the writer gave a call up before it may be settled as never run. */
	settleAfterMs: number;
};

/** Defaults of {@link ServiceLimits}. */
export const defaultServiceLimits: ServiceLimits = {
	connectMs: 1000,
	firstByteMs: 60_000,
	betweenBytesMs: 15_000,
	callerStallMs: 60_000,
	dispatchWithinMs: 5000,
	longestCallMs: 120_000,
	clockMarginMs: 10_000,
	mostKeptBytes: 32_768,
	mostAttempts: 3,
	replayBytes: 65_536,
	mostKeyedBytes: 1_048_576,
	mostHeldBytes: 33_554_432,
	lookUpMs: 1000,
	keepMs: 86_400_000,
	persistMs: 60_000,
	settleAfterMs: 900_000,
};

/** Events of calls, for metrics. */
export type ServiceEvent
	= | 'answered' | 'replayed' | 'not_run' | 'unknown' | 'in_progress' | 'refused' | 'store_unavailable' | 'no_answer'
		| 'retried' | 'crossed' | 'late' | 'unrecorded';

/** The gateway's data about a call. */
export type ServiceContext = {
	/** Workspace that the caller's key belongs to, already authenticated. */
	workspace: string;
	service: PlainService;
	/** Unique id of the request; endpoints get it as `x-request-id`. */
	requestId: string;
	/** API key as the caller presented it; it is removed from the request wherever it occurs. */
	presentedKey: string;
	/** Path and query below the service, as sent. */
	path: string;
	/** Picks the next endpoint in order of preference, other than the excluded ones; `undefined` if none is left. */
	pick: (excluded: ReadonlySet<string>) => Endpoint | undefined;
	/** `performance.now()` by which the response must have begun. */
	deadline: number;
};

/** Options of {@link createServiceProxy}. */
export type ServiceProxyOptions = {
	/** Table that stores the orders. */
	table: TableClient;
	/** Limits retries of idempotent calls. */
	retryBudget: RetryBudget;
	/** Finds a service and its endpoints, for status look-ups. */
	directory: ServiceDirectory;
	/** Transport to the endpoints; HTTP/1.1 by default. */
	transport?: EndpointTransport;
	limits?: Partial<ServiceLimits>;
	/** Creates a random token; a random UUID by default. */
	newToken?: () => string;
	/** Called for each event of a call. */
	onEvent?: (event: ServiceEvent, service: string) => void;
	/** Called for each failed exchange that counts against its endpoint. */
	onEndpointFailure?: (endpoint: Endpoint, failure: string) => void;
	/** Called for each transaction of the order store, with its number of writes. */
	onTransaction?: (writes: number) => void;
};

/** One call with all data needed to handle it. */
export type IncomingCall = {
	context: ServiceContext;
	call: ReadyCall;
	body: RequestBody | undefined;
	contentType: string;
	sink: ResponseSink;
};
