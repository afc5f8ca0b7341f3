/** Decides what becomes of the requests that an engine runs when it is to load weights. */
import {type RunPolicy} from './weights-control.js';

/** What the decision depends on; times in milliseconds. */
export type RunState = {
	/** Requests that the engine runs. */
	running: number;
	/** Expected time until the last of them ends; 0 or less if they have outlasted it. */
	remainingMs: number;
	/** Time until the engine has to load. */
	leftMs: number;
};

/** Factor by which an engine may slow down after its order and still finish its running requests in time. */
const slowdownReserve = 8;

/**
 * What becomes of the running requests if the engine is ordered now; `undefined` if they should end first. An order
 * that waits for them can't be replaced by one that doesn't.
 */
export function runPolicyFor({running, remainingMs, leftMs}: RunState): RunPolicy | undefined {
	if (running === 0) {
		return 'finish';
	}

	if (leftMs <= 0) {
		return 'continue';
	}

	// Requests that have outlasted their expected time may take any time.
	return remainingMs > 0 && remainingMs * slowdownReserve <= leftMs ? 'finish' : undefined;
}
