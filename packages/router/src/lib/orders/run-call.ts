/**
 * Tries one call on successive endpoints until it is answered or fails for good.
 * What follows each failure is defined by the tables in `failure-classes.ts`.
 */
import {type Endpoint} from '../configuration/document.js';
import {type ResponseSink} from './response-sink.js';
import {type EndpointTransport, type OutgoingBody} from './endpoint-transport.js';
import {type ExchangeLimits, type ExchangeResult, runExchange} from './exchange.js';
import {
	type CallKind, type FailureClass, failureClasses, nextSteps,
} from './failure-classes.js';

/** Limits the load that retries add; shared by all calls of a process. */
export type RetryBudget = {
	/** Takes one retry from the budget; returns `false` when none is left. */
	take: (service: string) => boolean;
	/** Adds a fraction of a retry to the budget, once for each call. */
	deposit: (service: string) => void;
};

/** One call that is ready to be sent. */
export type ReadyCall = {
	service: string;
	requestId: string;
	kind: CallKind;
	method: string;
	path: string;
	headers: readonly string[];
	/** Opens the body for an attempt; returns `undefined` if it cannot be sent again. */
	openBody: () => {body?: OutgoingBody} | undefined;
	/** Picks the next endpoint in order of preference, other than the excluded ones. */
	pick: (excluded: ReadonlySet<string>) => Endpoint | undefined;
	/** `performance.now()` by which the response must have begun. */
	deadline: number;
	maySend: () => boolean;
};

/** Options of {@link runCall}. */
export type RunCallOptions = {
	transport: EndpointTransport;
	retryBudget: RetryBudget;
	limits: ExchangeLimits;
	/** Maximum number of attempts per call, including the first. */
	mostAttempts: number;
	onDropped: (why: 'crossed' | 'late') => void;
	/** Called when another attempt may follow a failure. */
	onRetry: (failure: FailureClass) => void;
	/** Called when an attempt failed because of its endpoint. */
	onEndpointFailure?: (endpoint: Endpoint, failure: FailureClass) => void;
};

/** Result of a call. */
export type CallResult
	= | {kind: 'answered'; endpoint: Endpoint; status: number}
	/** No byte of the call was sent to any endpoint. */
		| {kind: 'not_run'; failure: FailureClass | 'no_endpoint'}
	/** The call may have run. `begun`: the caller's connection was cut within the response. */
		| {kind: 'unknown'; endpoint: Endpoint; failure: FailureClass; begun: boolean};

type Step = 'elsewhere' | 'retry' | 'unknown';

function stepAfter(result: ExchangeResult & {answered: false}, kind: CallKind): Step {
	if (result.begun || result.failure === 'cancelled') {
		return 'unknown';
	}

	return nextSteps[failureClasses[result.failure].reach][kind];
}

/** Runs a call to its end. Never rejects; only an endpoint's response is written to the sink. */
export async function runCall(call: ReadyCall, sink: ResponseSink, options: RunCallOptions): Promise<CallResult> {
	const excluded = new Set<string>();
	let last: CallResult = {kind: 'not_run', failure: 'no_endpoint'};
	options.retryBudget.deposit(call.service);
	for (let attempt = 1; attempt <= options.mostAttempts; attempt++) {
		const endpoint = call.pick(excluded);
		const opened = endpoint === undefined ? undefined : call.openBody();
		if (endpoint === undefined || opened === undefined || performance.now() >= call.deadline) {
			return last;
		}

		const result = await runExchange({
			transport: options.transport,
			request: {
				endpoint,
				method: call.method,
				path: call.path,
				headers: call.headers,
				...opened,
				// Retries use a new connection: after silence, idle connections to any
				// endpoint may have been lost together.
				dedicatedConnection: call.kind === 'once' || attempt > 1,
			},
			requestId: call.requestId,
			kind: call.kind,
			sink,
			limits: options.limits,
			deadline: call.deadline,
			maySend: call.maySend,
			onDropped: options.onDropped,
		});
		if (result.answered) {
			return {kind: 'answered', endpoint, status: result.status};
		}

		excluded.add(endpoint.name);
		last = resultAfter(last, result, endpoint);
		if (failureClasses[result.failure].blamesEndpoint) {
			options.onEndpointFailure?.(endpoint, result.failure);
		}

		const step = stepAfter(result, call.kind);
		if (step === 'unknown' || result.failure === 'withdrawn' || (step === 'retry' && !options.retryBudget.take(call.service))) {
			return last;
		}

		options.onRetry(result.failure);
	}

	return last;
}

/** The result is `not_run` only if no attempt may have sent a byte. */
function resultAfter(before: CallResult, result: ExchangeResult & {answered: false}, endpoint: Endpoint): CallResult {
	if (failureClasses[result.failure].reach === 'nothing') {
		return before.kind === 'unknown' ? before : {kind: 'not_run', failure: result.failure};
	}

	return {
		kind: 'unknown', endpoint, failure: result.failure, begun: result.begun,
	};
}
