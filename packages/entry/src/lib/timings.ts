/** Timings of the entry daemon, derived from the bounds in the platform's settings. */
import {type BootSettings} from '@hickorywalk/platform';

/** Durations in milliseconds, unless noted. */
export type Timings = {
	/** Long-poll wait at the store, for a daemon that is an elected reader of a table. */
	feedWaitMs: number;
	/** Time after a peer's relay for which a table counts as current without a read of the store. */
	feedFreshMs: number;
	/** Time by which a relay may arrive later than a hint of the same change. */
	relayDelayMs: number;
	/** Timeout of a store call, on top of its long-poll wait. */
	storeTimeoutMs: number;
	/**
	 * Pause after a change of the endpoint list, to coalesce updates; much shorter than `drainMs`,
	 * within which a leaving endpoint may still get work.
	 */
	endpointsCoalesceMs: number;
	reportEveryMs: number;
	/** Silence after which a peer counts as away, if each round of reports reaches all peers. */
	minPeerSilenceMs: number;
	/** Silence after which a peer is presumed stopped, if each round of reports reaches all peers. */
	minPeerGoneMs: number;
	/** Interval between reads of the directory of daemons, for each round of reports that it takes to reach all peers. */
	directoryEveryMs: number;
	/** Lease duration. */
	leaseMs: number;
	/** Safety margin by which the lease holder stops before the lease expires. */
	leaseMarginMs: number;
	/** Minimum time between orders from two different daemons to one engine. */
	handoverMs: number;
	/** Grace period for entries that expired during a store outage. */
	expiredGraceMs: number;
	/** Time after an outage during which expired entries get that grace period. */
	graceWindowMs: number;
	/** Time after which the platform has removed the row of an endpoint that no longer runs. */
	rowExpiryMs: number;
	/** Timeout of state and order calls to engines. */
	engineTimeoutMs: number;
	rolloutEveryMs: number;
	/** Time for which a process that has just started waits for the document that its peers serve by. */
	catchUpMs: number;
	/** Time for which the load balancer may still open connections after this process became unready. */
	balancerDelayMs: number;
	/** Part of the platform's stop timeout that is reserved for the last steps of a stop. */
	stopReserveMs: number;
};

/**
 * Derives the timings. `feedWaitMs` + `storeAnswerMs` and one more call without waiting stay
 * below the bounds for changes of the document and for leaving endpoints, so that a dead
 * connection can't delay a change beyond them. Neither can the loss of a reader, which is
 * noticed after `feedTrustMs` and takes one more call.
 */
export function timingsFor(settings: BootSettings): Timings {
	const boundMs = Math.min(settings.documentMs, settings.drainMs);
	return {
		feedWaitMs: boundMs * 0.5,
		feedFreshMs: boundMs * 0.7,
		relayDelayMs: 100,
		storeTimeoutMs: boundMs * 0.2,
		endpointsCoalesceMs: settings.drainMs * 0.125,
		reportEveryMs: 200,
		minPeerSilenceMs: 1000,
		minPeerGoneMs: settings.quota.windowMs,
		directoryEveryMs: 15_000,
		leaseMs: settings.leaseMs * 0.6,
		leaseMarginMs: settings.leaseMs * 0.15,
		handoverMs: settings.leaseMs + 200,
		expiredGraceMs: settings.drainMs * 0.85,
		graceWindowMs: settings.heartbeatMs * 3,
		rowExpiryMs: settings.heartbeatMs * 4,
		engineTimeoutMs: 250,
		rolloutEveryMs: 100,
		catchUpMs: 10_000,
		balancerDelayMs: Math.min(2500, settings.stopMs * 0.5),
		stopReserveMs: Math.min(700, settings.stopMs * 0.25),
	};
}
