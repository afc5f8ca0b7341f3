/** Times of the entry daemon, worked out from what the platform's settings bound. All in milliseconds. */
import {type BootSettings} from '@hickorywalk/platform';

/** Times that the parts are made with. */
export type Timings = {
	/** For how long the store may hold a question back. */
	feedWaitMs: number;
	/** By how many times that is longer with as many peers heard. */
	mostFeedWaits: number;
	/** After which an answer of the store counts as lost. */
	storeAnswerMs: number;
	/** Pause after changes of the list of endpoints; a leaving one may get work for `drainMs`. */
	endpointsRestMs: number;
	/** Between two reports to peers. */
	reportEveryMs: number;
	/** Silence after which a peer counts as away. */
	peerSilenceMs: number;
	/** Silence after which a peer is thought to have stopped. */
	peerGoneMs: number;
	/** Between two readings of the directory of daemons. */
	directoryEveryMs: number;
	/** How long a lease lasts, and by how much its holder stops early. */
	leaseMs: number;
	leaseMarginMs: number;
	/** Time that must lie between orders of two daemons to one engine. */
	handoverMs: number;
	/** For how long an entry that lapsed in an outage may be missing. */
	lapsedGraceMs: number;
	/** For how long after an outage lapsed entries are given that grace. */
	outageEchoMs: number;
	/** Calls to engines that ask or order; they answer within a few milliseconds, and one whose answer is lost is asked anew. */
	engineCallMs: number;
	/** Between two rounds of the keeper of weights. */
	keeperEveryMs: number;
	/** For how long new connections still come after this process said that it stops. */
	balancerMs: number;
};

/**
 * Works the times out. A document must be in force after `documentMs`: a feed
 * that went silent is noticed after `feedWaitMs` and `storeAnswerMs`, and one
 * more question without waiting follows, which together stay below it.
 */
export function timingsFor(settings: BootSettings): Timings {
	return {
		feedWaitMs: settings.documentMs * 0.4,
		mostFeedWaits: 5,
		storeAnswerMs: settings.documentMs * 0.2,
		endpointsRestMs: settings.drainMs * 0.125,
		reportEveryMs: 200,
		peerSilenceMs: 1000,
		peerGoneMs: settings.quota.windowMs,
		directoryEveryMs: 15_000,
		leaseMs: settings.leaseMs * 0.6,
		leaseMarginMs: settings.leaseMs * 0.15,
		handoverMs: settings.leaseMs + 200,
		lapsedGraceMs: settings.drainMs * 0.85,
		outageEchoMs: settings.heartbeatMs * 3,
		engineCallMs: 250,
		keeperEveryMs: 100,
		balancerMs: 2500,
	};
}
