/**
 * Decides whether an attempt is ended so that its request goes on at another endpoint. A response in progress
 * is ended only for an endpoint that will get the request.
 */
import {type Choice} from '../placing/endpoint-choice.js';
import {type Standing} from '../quarantine/quarantine.js';
import {type Call, mayRunAgain} from './call.js';
import {mayRepeat} from './retry-decision.js';
import {respondsSoon} from './silence-timeouts.js';

/** Options of {@link createAttemptMoves}. */
export type AttemptMovesOptions = {
	/** Whether another endpoint may get the request, which is then reserved in the retry budget. */
	mayTryElsewhere: (call: Call) => boolean;
	standingOf: (call: Call) => Standing;
	/** Whether the request must not be sent to any endpoint now. */
	isRefused: (call: Call) => boolean;
};

/** The decisions; after each positive one the attempt is to be ended at once. */
export type AttemptMoves = {
	/** Whether the request goes from a silent endpoint, or one that is about to load weights, to one that responds soon. */
	mayMoveAway: (call: Call) => boolean;
	/** Whether the request goes elsewhere since the path to its endpoint is lost. */
	mayLeavePath: (call: Call) => boolean;
};

/** Creates the decisions. */
export function createAttemptMoves({mayTryElsewhere, standingOf, isRefused}: AttemptMovesOptions): AttemptMoves {
	/** Finds the endpoint that the request goes to if its attempt ends now, and keeps it for the next attempt. */
	const reservePlace = (call: Call, isGoodEnough: (place: Choice) => boolean): boolean => {
		const place = mayRepeat(call, standingOf(call)) && !isRefused(call) ? call.findPlace?.() : undefined;
		const isFound = place !== undefined && isGoodEnough(place) && mayTryElsewhere(call);
		call.place = isFound ? place : undefined;
		return isFound;
	};

	return {
		mayMoveAway: call => reservePlace(call, place => respondsSoon(call, place)),
		mayLeavePath(call) {
			// A lost path may be found again, so a response in progress doesn't end for less than a place.
			return call.progress.firstAt === undefined ? mayRunAgain(call) && mayTryElsewhere(call) : reservePlace(call, () => true);
		},
	};
}
