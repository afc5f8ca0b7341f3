/** What a placer is told: endpoints, and options with their defaults. */
import {type HealthOptions} from './health.js';

/** An endpoint as configuration and membership know it. */
export type PlacementEndpoint = {
	/** Name of the endpoint. */
	name: string;
	/** Service that the endpoint runs. */
	service: string;
	/** Data centre of the endpoint. */
	dataCentre: string;
	/** Whether new work may go there now: its VM is live and not leaving, and it is not being reloaded. */
	usable: boolean;
	/** Weights version that it runs, where the daemon knows; engines' reports go before it. */
	version?: string;
};

/** How a placer decides; durations in milliseconds. */
export type PlacerOptions = {
	/** Random numbers from 0 up to 1; seeded in tests and replays. */
	random: () => number;
	/** Tokens in one piece of a service's prefix cache. Default 1,024 for all. */
	pieceTokensOf?: (service: string) => number;
	/** Time there and back to a data centre. Default 0 for all. */
	roundTripMs?: (dataCentre: string) => number;
	/** Prefixes that are remembered; bounds the memory (some 550 bytes each). Default 16,384. */
	rememberedPrefixes?: number;
	/** Endpoints remembered for each prefix. Default 64. */
	homesEach?: number;
	/** Most computed homes of a prefix. Default 128. */
	mostHomes?: number;
	/** Most homes of a prompt that one decision looks at. Default 8. */
	consideredHomes?: number;
	/** Homes that a prefix gets for each endpoint's worth of its share of requests. Default 1.5. */
	homeHeadroom?: number;
	/** How many times longer than a prompt's hot levels the rest must be to have homes anywhere in the service. Default 3. */
	longRest?: number;
	/** Endpoints behind a prefix's homes that are looked at, too. Default 2. */
	spareHomes?: number;
	/** Time to compute one prompt token before it was learned. Default 0.1. */
	initialMsPerToken?: number;
	/** Time lost by an endpoint that loads an adapter. Default 50. */
	adapterSwitchMs?: number;
	/** Weight of a recomputed token against time spent queueing. Default 4. */
	recomputeWeight?: number;
	/** Share of the prompt's unknown part that a computed home counts as having. Default 1: what it computes, it will have. */
	homeCredit?: number;
	/** Endpoints drawn at random for a prompt shorter than a piece. Default 4. */
	drawnCandidates?: number;
	/** Age of load reports when they arrive; loads that come with answers are fresh. Default 300. */
	reportLagMs?: number;
	/** Age at which a load report is dropped. Default 5,000. */
	reportLifeMs?: number;
	/** Time in which a new process of an engine comes to a full share. Default 3,000. */
	slowStartMs?: number;
	/** Requests at once that a new process may have from this router at first. Default 2. */
	slowStartRequests?: number;
	/** When endpoints are ejected and taken back. */
	health?: HealthOptions;
};

/** Options with defaults filled in. */
export type FilledPlacerOptions = Required<PlacerOptions>;

/** Fills in the defaults. */
export const fillPlacerOptions = (options: PlacerOptions): FilledPlacerOptions => ({
	pieceTokensOf: () => 1024,
	roundTripMs: () => 0,
	rememberedPrefixes: 16_384,
	homesEach: 64,
	mostHomes: 128,
	consideredHomes: 8,
	homeHeadroom: 1.5,
	longRest: 3,
	spareHomes: 2,
	initialMsPerToken: 0.1,
	adapterSwitchMs: 50,
	recomputeWeight: 4,
	homeCredit: 1,
	drawnCandidates: 4,
	reportLagMs: 300,
	reportLifeMs: 5000,
	slowStartMs: 3000,
	slowStartRequests: 2,
	health: {},
	...options,
});
