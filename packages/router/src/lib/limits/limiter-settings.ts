/** Settings of the token limiter with their defaults. */

/** Every daemon of a fleet must run with the same values. */
export type LimiterSettings = {
	/** Number of shards that workspaces are spread over; fixed for the life of a fleet. */
	shards: number;
	/**
	 * Milliseconds for which a holder or issuer may act on its shares after it
	 * last heard from its issuer or the table: the longest outage ridden out.
	 */
	leaseMs: number;
	/**
	 * Milliseconds by which a holder stops before its lease ends and a successor
	 * waits after it. Covers a pause between the check and the use, and drift of
	 * the monotonic clock over one lease.
	 */
	marginMs: number;
	/** Milliseconds between two calls of `tick`. */
	tickMs: number;
	/** Milliseconds for which messages to peers are collected into one batch. */
	flushMs: number;
	/** Milliseconds after which an issuer that does not answer a claim counts as silent. */
	askTimeoutMs: number;
	/** Milliseconds between repeats of a message that got no answer. */
	resendMs: number;
	/** Milliseconds between two readings of the table's rows. */
	refreshMs: number;
	/** Milliseconds of its own demand that a holder keeps ready. */
	horizonMs: number;
	/** Milliseconds without demand after which a holder gives its shares back. */
	idleMs: number;
	/** Part of an issuer's spare tokens and rate that one wish may take ahead of demand. */
	prefetchShare: number;
	/** Part of a workspace's burst that a holder may keep empty. */
	trimShare: number;
	/** Fill of the reserve, as a part of the burst, below which nothing goes out ahead of demand. */
	scarceShare: number;
	/** Most of a workspace's rate that holders may have; the rest grows at the issuer. */
	rateOutShare: number;
	/**
	 * Whether a VM that was in the platform's list and is missing from a later
	 * version of it counts as stopped. When false, only time ends its shares.
	 */
	trustDepartures: boolean;
	/**
	 * Whether a new process of a daemon proves that the old one has ended,
	 * because both need the same peer port. When false, only time ends its shares.
	 */
	trustRestarts: boolean;
};

/** What runs when nothing else is asked for. */
export const defaultLimiterSettings: LimiterSettings = {
	shards: 256,
	leaseMs: 90 * 60 * 1000,
	marginMs: 30_000,
	tickMs: 100,
	flushMs: 2,
	askTimeoutMs: 400,
	resendMs: 150,
	refreshMs: 30_000,
	horizonMs: 2000,
	idleMs: 10_000,
	prefetchShare: 0.125,
	trimShare: 0.01,
	scarceShare: 0.25,
	rateOutShare: 0.5,
	trustDepartures: true,
	trustRestarts: true,
};

/** The limit of one workspace over all VMs together. */
export type WorkspaceLimit = {
	/** Name of the workspace. */
	name: string;
	/** Rate in tokens a second. */
	tokensPerSecond: number;
	/** Burst in tokens. */
	burstTokens: number;
};

/** A daemon that shares can be exchanged with. */
export type LimiterPeer = {
	/** Name of the daemon, which is also the name of its VM. */
	name: string;
	/** Data centre of the daemon. */
	dataCentre: string;
};
