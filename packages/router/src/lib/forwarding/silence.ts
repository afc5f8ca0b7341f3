/**
 * How long an endpoint may be silent before a request goes elsewhere.
 *
 * A silent endpoint is either broken or has too much to do. Taking a request
 * away from a busy one throws away the time that it has waited there and puts
 * the same load on another, so it goes only where its answer would begin soon.
 */
import {type Choice} from '../placing/endpoint-choice.js';
import {type Call, mayRunAgain} from './call.js';

/** A plain request that may run twice goes elsewhere after this many times its target time without an answer. */
const silentTargets = 2.5;

/** The same for the first event of a stream that can be resumed; the caller itself leaves after four. */
const silentStreamTargets = 3;

/** Silence within a stream after which it goes on elsewhere, as a multiple of the pause that is on time, and at least. The caller leaves after eight pauses or two seconds. */
const silentPauses = 4;
const leastSilentPauseMs = 800;

/**
 * Part of the target time within which another endpoint's answer must be
 * expected to begin. On a day that left 5 of 13 engines, 141 streams of 1,970
 * were given up while they waited their turn, and failed since the retry budget
 * was spent; expected times there were 300 ms and more, against 100 ms on calm
 * days, at a target of 400 ms.
 */
const soonShare = 0.5;

/** Milliseconds of silence that are borne: up to the head of an answer, and from one event to the next. */
export type SilenceLimits = {headMs: number; eventMs: number};

/** The limits of a request's next attempt. */
export function silenceLimits(call: Call): SilenceLimits {
	const {route} = call;
	const lastMs = call.deadlineAt - performance.now();
	if (!mayRunAgain(call) || call.attempts >= route.mostEndpoints) {
		return {headMs: lastMs, eventMs: lastMs};
	}

	return route.kind === 'stream'
		? {headMs: route.targetMs * silentStreamTargets, eventMs: Math.max(leastSilentPauseMs, (route.targetPauseMs ?? 0) * silentPauses)}
		: {headMs: route.targetMs * silentTargets, eventMs: route.targetMs};
}

/** Whether a silent request is better off at the endpoint that would be next. */
export const isBetterOff = (call: Call, next: Choice | undefined): boolean =>
	next !== undefined && next.expectedMs <= call.route.targetMs * soonShare;
