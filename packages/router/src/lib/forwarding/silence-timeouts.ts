/**
 * Silence timeouts of attempts. Moving a request off a busy endpoint loses its place in
 * the queue, so it moves only where the response would begin soon.
 */
import {type Choice} from '../placing/endpoint-choice.js';
import {type Call, mayRunAgain} from './call.js';

/** Timeout to the response head, as a multiple of the target time. */
const headTimeoutRatio = 2.5;

/** Timeout to a stream's first event, as a multiple of the target time. */
const streamHeadTimeoutRatio = 3;

/** Timeout between two events, as a multiple of the target pause, with a lower bound. */
const eventTimeoutRatio = 4;
const minEventTimeoutMs = 800;

/** Fraction of the target time within which another endpoint must be expected to respond. */
const soonRatio = 0.5;

/** Silence timeouts in milliseconds, up to the response head and between events. */
export type SilenceTimeouts = {headMs: number; eventMs: number};

/** Bounds the factor on the timeouts of slow endpoints, so that a hung one is left in time. */
const maxSlowdown = 3;

/**
 * Timeouts of a request's next attempt. They are extended at an endpoint whose work takes longer than
 * usual at this moment, since a silent endpoint is left and counts as failing.
 */
export function silenceTimeouts(call: Call, paceRatio = 1): SilenceTimeouts {
	const {route} = call;
	const slowdown = Math.min(maxSlowdown, Math.max(1, paceRatio));
	const remainingMs = call.deadlineAt - performance.now();
	if (!mayRunAgain(call) || call.attempts >= route.maxEndpoints) {
		return {headMs: remainingMs, eventMs: remainingMs};
	}

	return route.kind === 'stream'
		? {headMs: route.targetMs * streamHeadTimeoutRatio * slowdown, eventMs: Math.max(minEventTimeoutMs, (route.targetPauseMs ?? 0) * eventTimeoutRatio) * slowdown}
		: {headMs: route.targetMs * headTimeoutRatio * slowdown, eventMs: route.targetMs * slowdown};
}

/** Whether the next endpoint is expected to respond soon enough to move a silent request there. */
export const respondsSoon = (call: Call, next: Choice | undefined): boolean =>
	next !== undefined && next.expectedMs <= call.route.targetMs * soonRatio;
