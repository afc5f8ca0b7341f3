/**
 * Decides whether a request is sent, waits or is refused, from the time that it has left and the
 * time in which the service is expected to respond. Designed for an offered load of up to 4 times the capacity.
 */

/** What the decision rests on; all times in milliseconds. */
export type AdmissionFacts = {
	/** Time until the caller gives up. */
	remainingMs: number;
	/** Expected time to the first event at the chosen endpoint; `undefined` if no endpoint can take the request now. */
	expectedMs: number | undefined;
	/** The chosen endpoint runs nothing, so the request would not wait for others there. */
	isIdle: boolean;
	/** Expected time until an endpoint can take any request; `undefined` if it isn't known that one will. */
	capacityMs: number | undefined;
	/** Expected time until the requests that are served before this one have been taken. */
	queueMs: number;
	/** Shortest time to the first event once an endpoint takes the request. */
	serviceMs: number;
	/** Whether the queue of waiting requests has room. */
	hasQueueRoom: boolean;
};

/** What happens to a request; `expectedMs` is what the decision rests on. */
export type AdmissionDecision
	= | {kind: 'send'}
		| {kind: 'wait'}
		| {kind: 'refuse'; reason: RefusalReason; expectedMs: number};

/** `late`: the response would come too late; `full`: too many wait already; `unavailable`: no endpoint is expected to take the request in its time. */
export type RefusalReason = 'late' | 'full' | 'unavailable';

/**
 * Factor by which an expected time may exceed the time left. Estimates of the time to the first
 * event are off by about a fifth at engines whose queue is shared by several daemons.
 */
export const lateToleranceRatio = 1.2;

/** Fixed tolerance in milliseconds, for requests that have little time left; as long as a scheduling delay on a small VM. */
const lateToleranceMs = 20;

/** `Retry-After` of at least this time, since queues don't change much in less. */
const minRetryAfterMs = 250;

/** Callers honour a `Retry-After` of up to this fraction of the time they have left. */
const worthwhileReturnRatio = 1 / 3;

/** Random extension of `Retry-After`, so that callers don't return together. */
const jitterRatio = 0.5;

/** Whether a response that is expected in this time is late for the caller. */
export const isLate = (expectedMs: number, remainingMs: number): boolean =>
	expectedMs > (remainingMs * lateToleranceRatio) + lateToleranceMs;

/** Decides on a request. An estimate alone never refuses a request that an idle endpoint can take. */
export function decideAdmission(facts: AdmissionFacts): AdmissionDecision {
	const {remainingMs, expectedMs, capacityMs, queueMs, serviceMs} = facts;
	if (expectedMs !== undefined) {
		return facts.isIdle || !isLate(expectedMs, remainingMs) ? {kind: 'send'} : {kind: 'refuse', reason: 'late', expectedMs};
	}

	if (capacityMs === undefined || capacityMs + serviceMs > remainingMs) {
		return {kind: 'refuse', reason: 'unavailable', expectedMs: (capacityMs ?? Number.POSITIVE_INFINITY) + serviceMs};
	}

	const waitedMs = Math.max(capacityMs, queueMs) + serviceMs;
	if (waitedMs > remainingMs) {
		return {kind: 'refuse', reason: 'late', expectedMs: waitedMs};
	}

	return facts.hasQueueRoom ? {kind: 'wait'} : {kind: 'refuse', reason: 'full', expectedMs: waitedMs};
}

/** Options of {@link retryAfterMs}. */
export type RetryAfterFacts = {
	/** Expected time to the response, as in the refusal. */
	expectedMs: number;
	remainingMs: number;
	/** Time in which the response is wanted. */
	targetMs: number;
	/** Returns a number in [0, 1). */
	random: () => number;
};

/** Milliseconds after which the service is expected to respond in the target time, with jitter; at most the time after which a return is still worthwhile. */
export function retryAfterMs({expectedMs, remainingMs, targetMs, random}: RetryAfterFacts): number {
	const longestMs = Math.max(0, remainingMs * worthwhileReturnRatio);
	const excessMs = Math.max(minRetryAfterMs, expectedMs - targetMs);
	// The cap leaves room for the jitter: otherwise all callers with a long wait would return at the same moment.
	return Math.min(excessMs, longestMs / (1 + jitterRatio)) * (1 + (jitterRatio * random()));
}
