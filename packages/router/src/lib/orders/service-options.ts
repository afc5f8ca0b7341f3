/** Limits, context and options of calls to plain services. */
import {type Endpoint, type PlainService} from '../configuration/document.js';
import {type TableClient} from '../platform/platform.js';
import {type AnswerSink} from './answer-sink.js';
import {type EndpointTransport} from './endpoint-transport.js';
import {type ExchangeLimits} from './exchange.js';
import {type KeyedLimits} from './keyed-call.js';
import {type RequestBody} from './request-body.js';
import {type ReadyCall, type RetryBudget} from './run-call.js';
import {type ServiceDirectory} from './unknown-orders.js';

/** Limits of a service proxy, all with defaults. */
export type ServiceLimits = ExchangeLimits & KeyedLimits & {
	/** Attempts of one call at most. */
	mostAttempts: number;
	/** Bytes of an idempotent call's body that are kept for a retry. */
	replayBytes: number;
	/** Longest body of a call with a key, in bytes. */
	mostKeyedBytes: number;
	/** Bytes of such bodies that are held at once; calls beyond it are refused as not run. */
	mostHeldBytes: number;
	/** Milliseconds that a status look-up may take. */
	lookUpMs: number;
	/** Milliseconds that an order with an outcome is kept. */
	keepMs: number;
	/** Milliseconds during which an outcome that could not be written is tried again. */
	persistMs: number;
	/** Milliseconds after the end of a call before it may be settled as never run. */
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

/** What happened, for metrics. */
export type ServiceEvent
	= | 'answered' | 'replayed' | 'not_run' | 'unknown' | 'in_progress' | 'refused' | 'store_unavailable' | 'no_answer'
		| 'retried' | 'crossed' | 'late' | 'unrecorded';

/** What the gateway knows of a call. */
export type ServiceContext = {
	/** Workspace that the caller's key belongs to, already authenticated. */
	workspace: string;
	service: PlainService;
	/** Unique id of the request; endpoints get it as `x-request-id`. */
	requestId: string;
	/** The key as the caller presented it; it is taken out wherever it stands. */
	presentedKey: string;
	/** Path and query below the service, as sent. */
	path: string;
	/** The next endpoint in order, other than the excluded; `undefined` when none is left. */
	pick: (excluded: ReadonlySet<string>) => Endpoint | undefined;
	/** `performance.now()` at which the answer must have begun. */
	deadline: number;
};

/** Options of {@link createServiceProxy}. */
export type ServiceProxyOptions = {
	/** Keeps the record of orders. */
	table: TableClient;
	/** Bounds retries of idempotent calls. */
	retryBudget: RetryBudget;
	/** Finds a service and its endpoints, for status look-ups. */
	directory: ServiceDirectory;
	/** Reaches endpoints; HTTP/1.1 by default. */
	transport?: EndpointTransport;
	limits?: Partial<ServiceLimits>;
	/** A new random token; a random UUID by default. */
	newToken?: () => string;
	/** Told of what happened to calls. */
	onEvent?: (event: ServiceEvent, service: string) => void;
	/** Told of each failed exchange that an endpoint is to blame for. */
	onEndpointFailure?: (endpoint: Endpoint, failure: string) => void;
	/** Told of each transaction of the record, with the number of its writes. */
	onTransaction?: (writes: number) => void;
};

/** One call with all that handling it needs. */
export type IncomingCall = {
	context: ServiceContext;
	call: ReadyCall;
	body: RequestBody | undefined;
	contentType: string;
	sink: AnswerSink;
};
