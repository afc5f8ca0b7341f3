/** Input of a placer: endpoints, and options with their defaults. */
import {type HealthOptions} from './health.js';

/** An endpoint as described by configuration and membership. */
export type PlacementEndpoint = {
	/** Name of the endpoint. */
	name: string;
	/** Service that the endpoint runs. */
	service: string;
	/** Data centre of the endpoint. */
	dataCentre: string;
	/** Whether new work may go there now: its VM is live and not leaving, and it is not reloading. */
	usable: boolean;
	/** Weights version that it runs, where the daemon knows it. Versions in engines' load reports take precedence. */
	version?: string;
};

/** Options of placement decisions; durations in milliseconds. */
export type PlacerOptions = {
	/** Returns random numbers in [0, 1); seeded in tests and replays. */
	random: () => number;
	/** Tokens in one piece of a service's prefix cache. Default 1,024 for all services. */
	pieceTokensOf?: (service: string) => number;
	/** Round-trip time to a data centre. Default 0 for all. */
	roundTripMs?: (dataCentre: string) => number;
	/** Maximum number of prefixes remembered, some 550 bytes each. Default 16,384. */
	rememberedPrefixes?: number;
	/** Maximum number of endpoints remembered for each prefix. Default 64. */
	homesEach?: number;
	/** Maximum number of computed homes of a prefix. Default 128. */
	mostHomes?: number;
	/** Maximum number of homes of a prompt that one decision considers. Default 8. */
	consideredHomes?: number;
	/** Homes of a prefix for each endpoint's worth of requests, that is, its share of the requests times the number of endpoints. Default 1.5. */
	homeHeadroom?: number;
	/** How many times longer than its hot levels the rest of a prompt must be to have homes anywhere in the service. Default 3. */
	longSuffixRatio?: number;
	/** Endpoints after a prefix's homes that are considered as well. Default 2. */
	spareHomes?: number;
	/** Time to compute one prompt token, until it is learned. Default 0.1. */
	initialMsPerToken?: number;
	/** Time that an endpoint needs to load an adapter. Default 50. */
	adapterSwitchMs?: number;
	/** Weight of the time to recompute tokens relative to queueing time. Default 4. */
	recomputeWeight?: number;
	/** Share of the part of a prompt not known to be cached that counts as cached at a computed home. Default 1: a home has cached what it computes once. */
	homeCredit?: number;
	/** Number of random endpoints considered for a prompt shorter than a piece. Default 4. */
	randomCandidates?: number;
	/** Assumed age of load reports on arrival; loads that come with answers have age 0. Default 300. */
	reportLagMs?: number;
	/** Age at which a load report is ignored. Default 5,000. */
	reportLifeMs?: number;
	/** Time over which a new engine process gets to a full share. Default 3,000. */
	slowStartMs?: number;
	/** Concurrent requests that a new engine process may have from this router at first. Default 2. */
	slowStartRequests?: number;
	/** When endpoints are ejected and how they return. */
	health?: HealthOptions;
};

/** Options with all defaults applied. */
export type FilledPlacerOptions = Required<PlacerOptions>;

/** Applies the defaults. */
export const fillPlacerOptions = (options: PlacerOptions): FilledPlacerOptions => ({
	pieceTokensOf: () => 1024,
	roundTripMs: () => 0,
	rememberedPrefixes: 16_384,
	homesEach: 64,
	mostHomes: 128,
	consideredHomes: 8,
	homeHeadroom: 1.5,
	longSuffixRatio: 3,
	spareHomes: 2,
	initialMsPerToken: 0.1,
	adapterSwitchMs: 50,
	recomputeWeight: 4,
	homeCredit: 1,
	randomCandidates: 4,
	reportLagMs: 300,
	reportLifeMs: 5000,
	slowStartMs: 3000,
	slowStartRequests: 2,
	health: {},
	...options,
});
