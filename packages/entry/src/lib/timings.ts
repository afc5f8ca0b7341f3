/** Timings of the entry daemon, derived from the bounds in the platform's settings. */
import {type BootSettings} from '@hickorywalk/platform';

/** Durations in milliseconds, unless noted. */
export type Timings = {
	/** Long-poll wait at the store, for a daemon that reads a table. */
	feedWaitMs: number;
	/** Time after a peer's relay for which a table counts as current without asking the store. */
	feedTrustMs: number;
	/** Time that a relay may take longer than a hint of the same change. */
	relayMs: number;
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
	/** Interval between two looks at the directory of daemons, for each round of reports that reaches all peers. */
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
 * below the bound of the document and of leaving endpoints, so a dead connection can't delay
 * a change beyond it; nor can a reader that is lost, after `feedTrustMs` and one call.
 */
export function timingsFor(settings: BootSettings): Timings {
	const boundMs = Math.min(settings.documentMs, settings.drainMs);
	return {
		feedWaitMs: boundMs * 0.5,
		feedTrustMs: boundMs * 0.7,
		relayMs: 100,
		storeAnswerMs: boundMs * 0.2,
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
