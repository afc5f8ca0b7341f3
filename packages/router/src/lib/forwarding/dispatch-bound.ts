/**
 * Decides which requests a process that stops may still send to endpoints: only those that end before it does. A
 * request's deadline bounds its time. Unless it is a plain request that may run only once, earlier attempts on its
 * route are proof enough, if they were observed for at least as long as there is time left.
 */
import {type Call, mayRunAgain} from './call.js';

/** Options of {@link createDispatchBound}. */
export type DispatchBoundOptions = {
	/** `performance.now()` until which the process serves; infinite while it isn't about to stop. */
	servesUntil: () => number;
	/** Requests under way. */
	calls: Iterable<Call>;
};

/** The bound. */
export type DispatchBound = {
	/** Whether the request may be sent to an endpoint now. */
	allows: (call: Call) => boolean;
	/** Records that an attempt on this route has ended. */
	recordAttempt: (route: string, sentAt: number) => void;
};

/** Attempts on a route: when the first one was sent, and the time of the longest one in milliseconds. */
type Observed = {since: number; longestMs: number};

/** Attempts are remembered for one to two times this many milliseconds. */
const windowMs = 60_000;

/** Factor on the longest time, since the remaining daemons and endpoints get more load. */
const marginRatio = 1.5;

/** The same for a stream that can't be resumed. If it is cut, its caller sees so, but can't have the rest. */
const lossyMarginRatio = 3;

/** Creates a bound without observations. */
export function createDispatchBound({servesUntil, calls}: DispatchBoundOptions): DispatchBound {
	let earlier = new Map<string, Observed>();
	let current = new Map<string, Observed>();
	let rotateAt = performance.now() + windowMs;

	/** Longest time of an attempt on the route, those under way included. */
	const longestMs = (route: string, now: number): number => {
		let longest = Math.max(earlier.get(route)?.longestMs ?? 0, current.get(route)?.longestMs ?? 0);
		for (const call of calls) {
			if (call.route.name === route && call.sentAt !== undefined) {
				longest = Math.max(longest, now - call.sentAt);
			}
		}

		return longest;
	};

	return {
		allows(call) {
			const endsAt = servesUntil();
			if (call.deadlineAt <= endsAt) {
				return true;
			}

			const {route} = call;
			const since = (earlier.get(route.name) ?? current.get(route.name))?.since;
			if (since === undefined || route.kind === 'once') {
				return false;
			}

			const now = performance.now();
			const leftMs = endsAt - now;
			return leftMs > 0 && now - since >= leftMs && longestMs(route.name, now) * (mayRunAgain(call) ? marginRatio : lossyMarginRatio) <= leftMs;
		},
		recordAttempt(route, sentAt) {
			const now = performance.now();
			if (now >= rotateAt) {
				earlier = current;
				current = new Map();
				rotateAt = now + windowMs;
			}

			const observed = current.get(route);
			if (observed === undefined) {
				current.set(route, {since: sentAt, longestMs: now - sentAt});
			} else if (now - sentAt > observed.longestMs) {
				observed.longestMs = now - sentAt;
			}
		},
	};
}
