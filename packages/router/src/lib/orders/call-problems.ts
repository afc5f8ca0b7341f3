/**
 * Error responses that the router itself sends in place of an endpoint's
 * response, and what a caller may conclude from each.
 */
import {Buffer} from 'node:buffer';
import {type ResponseSink} from './response-sink.js';
import {requestFaults} from './request-checks.js';

/**
 * Header with the outcome of a call. It is removed from endpoints' responses, so
 * that callers can rely on it.
 */
export const outcomeHeader = 'x-call-outcome';

/** Outcome of a call, as reported to the caller. */
export type CallOutcome = 'answered' | 'not_run' | 'unknown' | 'ran' | 'in_progress' | 'no_answer';

type Problem = {
	status: number;
	outcome: CallOutcome;
	message: string;
	/** Seconds after which a repeat may succeed; absent if a repeat cannot succeed. */
	retryAfterS?: number;
};

// HTTP clients retry 408, 409, 429 and 5xx on their own, and a retried order
// without a key could run twice. They do not retry 424.
const outcomeUnknownStatus = 424;

const refusedFault = {status: 400, outcome: 'not_run'} as const;

/** All error responses of the router, by error code. */
export const callProblems = {
	malformed_framing: {...refusedFault, message: requestFaults.malformed_framing},
	malformed_host: {...refusedFault, message: requestFaults.malformed_host},
	malformed_path: {...refusedFault, message: requestFaults.malformed_path},
	method_not_supported: {...refusedFault, message: requestFaults.method_not_supported},
	trailers_not_supported: {...refusedFault, message: requestFaults.trailers_not_supported},
	upgrade_not_supported: {...refusedFault, message: requestFaults.upgrade_not_supported},
	not_run: {
		status: 503, outcome: 'not_run', retryAfterS: 1,
		message: 'No endpoint could take the call, and no byte of it left. It did not run; send it again.',
	},
	order_store_unavailable: {
		status: 503, outcome: 'not_run', retryAfterS: 2,
		message: 'The record of keys cannot be reached, so this request was not run. An earlier one with the same key may have been: send it again with the same key.',
	},
	stopping: {
		status: 503, outcome: 'not_run', retryAfterS: 1,
		message: 'This entry point is stopping. The call did not run; send it again.',
	},
	busy: {
		status: 503, outcome: 'not_run', retryAfterS: 1,
		message: 'This entry point holds as many calls with keys as it has room for. The call did not run; send it again.',
	},
	outcome_unknown: {
		status: outcomeUnknownStatus, outcome: 'unknown',
		message: 'The call left for an endpoint and its answer was lost. It may have run. Do not send it again without asking the service first.',
	},
	answer_not_kept: {
		status: outcomeUnknownStatus, outcome: 'ran',
		message: 'The call ran, and its answer is no longer available. Do not send it again.',
	},
	order_in_progress: {
		status: 409, outcome: 'in_progress', retryAfterS: 1,
		message: 'A call with this key is in progress. Send it again with the same key to learn its outcome.',
	},
	key_reused: {
		status: 422, outcome: 'not_run',
		message: 'This key was used for another request. Use a new key for a new order.',
	},
	malformed_key: {
		status: 400, outcome: 'not_run',
		message: 'Send one Idempotency-Key of 1 to 255 visible characters.',
	},
	keyed_body_too_large: {
		status: 413, outcome: 'not_run',
		message: 'A call with a key is read whole before it leaves, and this body is longer than that allows.',
	},
	no_answer: {
		status: 504, outcome: 'no_answer', retryAfterS: 1,
		message: 'No endpoint gave a whole answer. The call is idempotent, so it is safe to send it again.',
	},
} as const satisfies Record<string, Problem>;

/** Error code of a response in {@link callProblems}. */
export type ProblemCode = keyof typeof callProblems;

/** Details of one error response. */
export type ProblemDetail = {
	requestId: string;
	/** Status of the endpoint's response, if known. */
	endpointStatus?: number | null;
};

/** Answers a call with an error response. */
export function sendProblem(sink: ResponseSink, code: ProblemCode, detail: ProblemDetail): void {
	const problem: Problem = callProblems[code];
	const error = {
		type: 'service_call', code, outcome: problem.outcome, message: problem.message, request_id: detail.requestId,
		...(detail.endpointStatus === undefined ? {} : {endpoint_status: detail.endpointStatus}),
	};
	const body = Buffer.from(JSON.stringify({error}));
	const headers = [
		'content-type',
		'application/json',
		'content-length',
		String(body.byteLength),
		outcomeHeader,
		problem.outcome,
		// Some clients check this header before the status to decide on a retry.
		'x-should-retry',
		String(problem.retryAfterS !== undefined),
	];
	if (problem.retryAfterS !== undefined) {
		headers.push('retry-after', String(problem.retryAfterS));
	}

	sink.start({status: problem.status, headers});
	sink.write(body);
	sink.end([]);
}
