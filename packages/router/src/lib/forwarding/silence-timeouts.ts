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

/** Timeouts of a request's next attempt. */
export function silenceTimeouts(call: Call): SilenceTimeouts {
	const {route} = call;
	const remainingMs = call.deadlineAt - performance.now();
	if (!mayRunAgain(call) || call.attempts >= route.maxEndpoints) {
		return {headMs: remainingMs, eventMs: remainingMs};
	}

	return route.kind === 'stream'
		? {headMs: route.targetMs * streamHeadTimeoutRatio, eventMs: Math.max(minEventTimeoutMs, (route.targetPauseMs ?? 0) * eventTimeoutRatio)}
		: {headMs: route.targetMs * headTimeoutRatio, eventMs: route.targetMs};
}

/** Whether the next endpoint is expected to respond soon enough to move a silent request there. */
export const respondsSoon = (call: Call, next: Choice | undefined): boolean =>
	next !== undefined && next.expectedMs <= call.route.targetMs * soonRatio;
