/** Decides what follows an attempt: a retry, or a response to the caller. */
import {connectionLossFailures, failureClasses, type FailureClass} from '../orders/failure-classes.js';
import {type CapacityWait} from '../placing/capacity-wait.js';
import {type Standing} from '../quarantine/quarantine.js';
import {type AttemptEnd, type BufferedResponse} from './attempt.js';
import {type Call, mayRunAgain} from './call.js';
import {type RefusalName} from './refusals.js';

/** Outcome of a request, or the decision to retry it. */
export type Decision
	= | {kind: 'done'; reason: string}
		| {kind: 'refuse'; name: RefusalName; retryAfterMs?: number}
		| {kind: 'next'; reason: string};

/** Retry-After in milliseconds for conditions that pass quickly, such as full queues. */
export const defaultRetryAfterMs = 250;

/** Failures to connect after which a request is rejected. */
const maxConnectFailures = 4;

/** Failed connections after which a request may still be repeated. */
const maxBrokenConnections = 1;

/** Failures after which the caller is told that the answer came too late. */
const lateFailures: ReadonlySet<FailureClass> = new Set(['late', 'silent', 'outdated']);

/** Options of {@link decideNext}. */
export type DecisionOptions = {
	/** Whether another endpoint may get the request, which is then reserved in the retry budget. */
	mayTryElsewhere: (call: Call) => boolean;
	standingOf: (call: Call) => Standing;
	capacityWait: CapacityWait;
};

/** Whether a request may be repeated after a failure. One during which an endpoint crashed before may have crashed this one too. */
export const mayRepeat = (call: Call, standing: Standing): boolean =>
	standing === 'clear' && call.brokenConnections <= maxBrokenConnections && mayRunAgain(call);

function refuseNotRun({service}: Call, name: RefusalName, capacityWait: CapacityWait): Decision {
	return {kind: 'refuse', name, retryAfterMs: Math.max(defaultRetryAfterMs, capacityWait(service) ?? 0)};
}

/** Decision when no eligible endpoint is left. */
export function decideWithoutEndpoint(call: Call, capacityWait: CapacityWait): Decision {
	return call.mayHaveRun ? {kind: 'refuse', name: 'endpoint_failed'} : refuseNotRun(call, 'no_endpoint', capacityWait);
}

/** Decision for a request that could be tried again, but may not be. */
export function decideWithoutRepeat(call: Call, capacityWait: CapacityWait): Decision {
	return call.mayHaveRun ? {kind: 'refuse', name: 'endpoint_failed'} : refuseNotRun(call, 'endpoint_refused', capacityWait);
}

/** Decision for a request that would not be served in its time. */
export const refuseOverloaded = ({mayHaveRun}: Call, retryAfterMs: number): Decision =>
	mayHaveRun ? {kind: 'refuse', name: 'endpoint_failed'} : {kind: 'refuse', name: 'overloaded', retryAfterMs};

/** Decision for a request that is refused because endpoints crash under it. */
export const refuseForCrashes = ({mayHaveRun}: Call): Decision => ({kind: 'refuse', name: mayHaveRun ? 'crashed_endpoints' : 'crashes_endpoints'});

/** Decision for a request that would not end before this process does. */
export const refuseForStop = ({mayHaveRun}: Call): Decision => mayHaveRun ? {kind: 'refuse', name: 'stopped'} : {kind: 'refuse', name: 'stopping', retryAfterMs: 0};

function afterNotRun(call: Call, {mayTryElsewhere, standingOf, capacityWait}: DecisionOptions): Decision {
	if (standingOf(call) === 'refused') {
		return refuseForCrashes(call);
	}

	if (mayTryElsewhere(call)) {
		return {kind: 'next', reason: 'not_run'};
	}

	return decideWithoutRepeat(call, capacityWait);
}

function afterConnectFailure(call: Call, failure: FailureClass, {capacityWait}: DecisionOptions): Decision {
	// The endpoint never got the request, so the attempt doesn't count.
	call.attempts--;
	call.connectFailures++;
	return performance.now() < call.deadlineAt && call.connectFailures < maxConnectFailures
		? {kind: 'next', reason: failure}
		: decideWithoutEndpoint(call, capacityWait);
}

function afterFailure(call: Call, failure: FailureClass, options: DecisionOptions): Decision {
	if (failureClasses[failure].reach === 'nothing') {
		return afterConnectFailure(call, failure, options);
	}

	const {mayTryElsewhere, standingOf} = options;
	call.mayHaveRun = true;
	call.brokenConnections += connectionLossFailures.has(failure) ? 1 : 0;
	const standing = standingOf(call);
	if (standing === 'refused') {
		return refuseForCrashes(call);
	}

	if (mayRepeat(call, standing) && mayTryElsewhere(call)) {
		return {kind: 'next', reason: failure};
	}

	if (failure === 'stopped') {
		return refuseForStop(call);
	}

	return {kind: 'refuse', name: lateFailures.has(failure) ? 'endpoint_late' : 'endpoint_failed'};
}

function afterErrorResponse(call: Call, response: BufferedResponse, {mayTryElsewhere}: DecisionOptions): Decision {
	call.mayHaveRun = true;
	call.errorResponse = response;
	return mayRunAgain(call) && mayTryElsewhere(call) ? {kind: 'next', reason: 'error_answer'} : {kind: 'done', reason: 'error_answer'};
}

/** Decides what follows an attempt. */
export function decideNext(call: Call, end: AttemptEnd, options: DecisionOptions): Decision {
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
			return afterErrorResponse(call, end.response, options);
		}

		case 'failed': {
			return afterFailure(call, end.failure, options);
		}
	}
}

/** Short name of an outcome, for logs and metrics. */
export function reasonOf(end: AttemptEnd): string {
	if (end.kind === 'failed') {
		return end.failure;
	}

	return end.kind === 'notRun' ? `not_run_${end.status}` : end.kind;
}
