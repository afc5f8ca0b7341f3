/**
 * Takes one call from endpoint to endpoint until it is answered or given up.
 * What follows each failure is read from the tables of `failure-classes.ts`.
 */
import {type Endpoint} from '../configuration/document.js';
import {type AnswerSink} from './answer-sink.js';
import {type EndpointTransport, type OutgoingBody} from './endpoint-transport.js';
import {type ExchangeLimits, type ExchangeResult, runExchange} from './exchange.js';
import {
	type CallKind, type FailureClass, failureClasses, nextSteps,
} from './failure-classes.js';

/** Bounds the load that retries add; shared by all calls of a process. */
export type RetryBudget = {
	/** Takes the right to one retry; `false` when the budget is spent. */
	take: (service: string) => boolean;
	/** A first attempt was made, which earns a share of a retry. */
	deposit: (service: string) => void;
};

/** One call, ready to leave. */
export type ReadyCall = {
	service: string;
	requestId: string;
	kind: CallKind;
	method: string;
	path: string;
	headers: readonly string[];
	/** Opens the body for an attempt; `undefined` when it cannot be sent again. */
	openBody: () => {body?: OutgoingBody} | undefined;
	/** The next endpoint in order, other than the excluded. */
	pick: (excluded: ReadonlySet<string>) => Endpoint | undefined;
	/** `performance.now()` at which the answer must have begun. */
	deadline: number;
	mayLeave: () => boolean;
};

/** What {@link runCall} works with. */
export type RunCallOptions = {
	transport: EndpointTransport;
	retryBudget: RetryBudget;
	limits: ExchangeLimits;
	/** Attempts of one call at most, the first included. */
	mostAttempts: number;
	onDropped: (why: 'crossed' | 'late') => void;
	/** A further attempt follows a failure. */
	onRetry: (failure: FailureClass) => void;
	/** An attempt failed and its endpoint is to blame. */
	onEndpointFailure?: (endpoint: Endpoint, failure: FailureClass) => void;
};

/** What became of a call. */
export type CallResult
	= | {kind: 'answered'; endpoint: Endpoint; status: number}
	/** No byte of the call left, to any endpoint. */
		| {kind: 'not_run'; failure: FailureClass | 'no_endpoint'}
	/** The call may have run. `begun`: the caller's connection was cut in the answer. */
		| {kind: 'unknown'; endpoint: Endpoint; failure: FailureClass; begun: boolean};

type Step = 'elsewhere' | 'retry' | 'unknown';

function stepAfter(result: ExchangeResult & {answered: false}, kind: CallKind): Step {
	if (result.begun || result.failure === 'cancelled') {
		return 'unknown';
	}

	return nextSteps[failureClasses[result.failure].reach][kind];
}

/** Runs a call to its end. Never rejects; writes to the sink only an endpoint's answer. */
export async function runCall(call: ReadyCall, sink: AnswerSink, options: RunCallOptions): Promise<CallResult> {
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
				// A retry after silence takes a new connection, since idle ones to any
				// endpoint may have been lost together.
				ownConnection: call.kind === 'once' || attempt > 1,
			},
			requestId: call.requestId,
			kind: call.kind,
			sink,
			limits: options.limits,
			deadline: call.deadline,
			mayLeave: call.mayLeave,
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

/** "Not run" holds only as long as no attempt let a byte out. */
function resultAfter(before: CallResult, result: ExchangeResult & {answered: false}, endpoint: Endpoint): CallResult {
	if (failureClasses[result.failure].reach === 'nothing') {
		return before.kind === 'unknown' ? before : {kind: 'not_run', failure: result.failure};
	}

	return {
		kind: 'unknown', endpoint, failure: result.failure, begun: result.begun,
	};
}
