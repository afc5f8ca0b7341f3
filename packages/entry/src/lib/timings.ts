/** Timings of the entry daemon, derived from the bounds in the platform's settings. */
import {type BootSettings} from '@hickorywalk/platform';

/** Durations in milliseconds, unless noted. */
export type Timings = {
	/** Long-poll wait at the store, for a daemon without peers. */
	feedWaitMs: number;
	/** Maximum factor on `feedWaitMs`, which grows with the number of live peers. */
	mostFeedWaits: number;
	/** Timeout of a store call, on top of its long-poll wait. */
	storeAnswerMs: number;
	/**
	 * Pause after a change of the endpoint list, to coalesce updates; short against `drainMs`,
	 * within which a leaving endpoint may still get work.
	 */
	endpointsRestMs: number;
	reportEveryMs: number;
	/** Silence after which a peer counts as away, while each round of reports reaches all peers. */
	minPeerSilenceMs: number;
	/** Silence after which a peer is presumed stopped, while each round of reports reaches all peers. */
	minPeerGoneMs: number;
	directoryEveryMs: number;
	/** Lease duration, and the safety margin by which its holder stops early. */
	leaseMs: number;
	leaseMarginMs: number;
	/** Minimum time between orders of two different daemons to one engine. */
	handoverMs: number;
	/** Grace period for entries that expired during a store outage. */
	lapsedGraceMs: number;
	/** Time after an outage during which expired entries get that grace period. */
	outageEchoMs: number;
	/** Timeout of state and order calls to engines. */
	engineCallMs: number;
	keeperEveryMs: number;
	/** Time for which the load balancer may still open connections after this process became unready. */
	balancerMs: number;
};

/**
 * Derives the timings. `feedWaitMs` + `storeAnswerMs` and one more call without waiting stay
 * below `documentMs`, so a dead connection can't delay a document beyond its bound.
 */
export function timingsFor(settings: BootSettings): Timings {
	return {
		feedWaitMs: settings.documentMs * 0.4,
		mostFeedWaits: 5,
		storeAnswerMs: settings.documentMs * 0.2,
		endpointsRestMs: settings.drainMs * 0.125,
		reportEveryMs: 200,
		minPeerSilenceMs: 1000,
		minPeerGoneMs: settings.quota.windowMs,
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
