/** What follows from the end of an attempt: another endpoint, or an answer to the caller. */
import {failureClasses, type FailureClass} from '../orders/failure-classes.js';
import {type AttemptEnd, type WholeAnswer} from './attempt.js';
import {type Call, mayRunAgain} from './call.js';
import {type RefusalName} from './refusals.js';

/** How a request goes on, or how it came to its end. */
export type Verdict
	= | {kind: 'done'; reason: string}
		| {kind: 'refuse'; name: RefusalName; retryAfterMs?: number}
		| {kind: 'next'; reason: string};

/** Pause to come back after, in milliseconds: a change of weights or a full queue passes in about this time. */
export const comeBackMs = 250;

/** Endpoints that a request may fail to reach before it is given up. */
const mostUnreached = 4;

/** What {@link judge} asks. */
export type JudgeOptions = {
	/** Whether another endpoint may get the request; takes it from the retry budget. */
	mayTryElsewhere: (call: Call) => boolean;
};

/** When no endpoint is left that could take the request. */
export function withoutEndpoint(call: Call): Verdict {
	return call.mayHaveRun ? {kind: 'refuse', name: 'endpoint_failed'} : {kind: 'refuse', name: 'no_endpoint', retryAfterMs: comeBackMs};
}

/** The endpoint proved that it ran nothing. */
function afterNotRun(call: Call, {mayTryElsewhere}: JudgeOptions): Verdict {
	if (mayTryElsewhere(call)) {
		return {kind: 'next', reason: 'not_run'};
	}

	return call.mayHaveRun ? {kind: 'refuse', name: 'endpoint_failed'} : {kind: 'refuse', name: 'endpoint_refused', retryAfterMs: comeBackMs};
}

function afterUnreached(call: Call, failure: FailureClass): Verdict {
	// The endpoint never had the request, so it doesn't count as sent there.
	call.attempts--;
	return performance.now() < call.deadlineAt && call.excluded.size < mostUnreached
		? {kind: 'next', reason: failure}
		: withoutEndpoint(call);
}

function afterFailure(call: Call, failure: FailureClass, {mayTryElsewhere}: JudgeOptions): Verdict {
	if (failureClasses[failure].reach === 'nothing') {
		return afterUnreached(call, failure);
	}

	call.mayHaveRun = true;
	if (mayRunAgain(call) && mayTryElsewhere(call)) {
		return {kind: 'next', reason: failure};
	}

	return {kind: 'refuse', name: failure === 'late' || failure === 'silent' ? 'endpoint_late' : 'endpoint_failed'};
}

function afterError(call: Call, answer: WholeAnswer, {mayTryElsewhere}: JudgeOptions): Verdict {
	call.mayHaveRun = true;
	call.errorAnswer = answer;
	return mayRunAgain(call) && mayTryElsewhere(call) ? {kind: 'next', reason: 'error_answer'} : {kind: 'done', reason: 'error_answer'};
}

/** Judges the end of an attempt. */
export function judge(call: Call, end: AttemptEnd, options: JudgeOptions): Verdict {
	switch (end.kind) {
		case 'answered': {
			return {kind: 'done', reason: 'answered'};
		}

		case 'callerLeft': {
			return {kind: 'done', reason: 'caller_left'};
		}

		case 'notRun': {
			return afterNotRun(call, options);
		}

		case 'errorAnswer': {
			return afterError(call, end.answer, options);
		}

		case 'failed': {
			return afterFailure(call, end.failure, options);
		}
	}
}

/** Short name of an end, for logs and metrics. */
export function reasonOf(end: AttemptEnd): string {
	if (end.kind === 'failed') {
		return end.failure;
	}

	return end.kind === 'notRun' ? `not_run_${end.status}` : end.kind;
}
