/** Settings of the token limiter and their defaults. */

/** Settings of the limiter. All daemons of a fleet must use the same values. */
export type LimiterSettings = {
	/** Number of shards that workspaces are hashed to; must not change during the life of a fleet. */
	shards: number;
	/**
	 * Milliseconds for which a holder or issuer may use its shares after its last
	 * answer from the issuer or the table: the longest outage that is bridged.
	 */
	leaseMs: number;
	/**
	 * Milliseconds by which a holder stops before the end of its lease, and which
	 * a successor waits after that end. Covers a pause between check and use, and
	 * drift of the monotonic clock over one lease.
	 */
	marginMs: number;
	/** Milliseconds between two calls of `tick`. */
	tickMs: number;
	/** Milliseconds over which messages to a peer are batched. */
	flushMs: number;
	/** Milliseconds that a request waits for an answer of the issuer before it is refused. */
	askTimeoutMs: number;
	/** Milliseconds between repeats of an unanswered message. */
	resendMs: number;
	/** Milliseconds between two reads of the table's rows. */
	refreshMs: number;
	/** Milliseconds of its demand for which a holder prefetches tokens. */
	horizonMs: number;
	/** Milliseconds without demand after which a holder returns its shares. */
	idleMs: number;
	/** Fraction of an issuer's spare tokens and rate that one wish may prefetch. */
	prefetchShare: number;
	/** Fraction of a workspace's burst that a holder may hold as empty capacity. */
	trimShare: number;
	/** Level of the reserve, as a fraction of the burst, below which nothing is prefetched. */
	scarceShare: number;
	/** Largest fraction of a workspace's rate that holders may get; the rest fills the issuer's reserve. */
	rateOutShare: number;
	/**
	 * Whether a VM that was in the platform's list and is missing from a later
	 * version counts as stopped. If false, its shares end only with their lease.
	 */
	trustDepartures: boolean;
	/**
	 * Whether a new process of a daemon proves that the old one has ended, because
	 * both bind the same peer port. If false, its shares end only with their lease.
	 */
	trustRestarts: boolean;
};

/** Default settings. */
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
	/** Rate in tokens per second. */
	tokensPerSecond: number;
	/** Burst in tokens. */
	burstTokens: number;
};

/** A daemon to exchange shares with. */
export type LimiterPeer = {
	/** Name of the daemon, which is also the name of its VM. */
	name: string;
	/** Data centre of the daemon. */
	dataCentre: string;
};
