/** How much has been read of a caller's connection, and so whether the caller may have left unnoticed. */
import {type EventLoopLag, maxLagMs} from '../time/event-loop-lag.js';

/** State of one request. */
export type ReadState = {
	/** `performance.now()` up to which all has been read that the connection tells. */
	readUpTo: number;
	/** Times that the request waited until the process had caught up. */
	catchUps: number;
};

/** Keeps states up to date. */
export type ReadStates = {
	/** State of a request that has just been read; the end of its connection may be unread for `lagMs` milliseconds. */
	open: (lagMs: number) => ReadState;
	/** Whether a caller whose request was read some turns ago may have left more than {@link maxLagMs} ago. */
	isStale: (state: ReadState) => boolean;
	/** Resolves once the end of the connection would have been read if the caller had left before this call. */
	catchUp: (state: ReadState) => Promise<void>;
};

/** Creates the functions. */
export const createReadStates = (eventLoopLag: EventLoopLag): ReadStates => ({
	open: lagMs => ({readUpTo: performance.now() - lagMs, catchUps: 0}),
	isStale({readUpTo}) {
		eventLoopLag.recordTurn();
		return performance.now() - readUpTo > maxLagMs && eventLoopLag.lagMs() > maxLagMs;
	},
	async catchUp(state) {
		state.catchUps++;
		state.readUpTo = await eventLoopLag.catchUp();
	},
});
