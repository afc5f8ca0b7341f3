/**
 * The policies that a replay compares: the product's placer and the baselines.
 * All use the same health tracker and get the same membership, so that only
 * placement differs.
 */
import {type Placement, type PlacementRequest} from 'hickorywalk/gateway.js';
import {
	createHealthTracker, createPlacer, homesByHash, type LearningPlacer, type PlacementEndpoint, type PlacerOptions,
} from 'hickorywalk/routing.js';

/** The part of the placer that a replay uses. */
export type ReplayPolicy = Pick<LearningPlacer, 'place' | 'started' | 'finished' | 'observe' | 'evicted' | 'setEndpoints'>;

/** Context for creating policies; each router has its own policy. */
export type PolicyContext = {
	random: () => number;
	pieceTokens: number;
	/** Options that override the defaults of the product's placer. */
	options: Partial<PlacerOptions>;
};

/** Load of an endpoint as a baseline knows it. */
type BaselineLoad = {
	endpoint: PlacementEndpoint;
	/** Requests that the engine last reported, plus those started by this router since. */
	requests: number;
};

type Choose = (request: PlacementRequest, allowed: readonly BaselineLoad[]) => BaselineLoad;

/** Creates a policy that calls `choose` with the endpoints that may be used. */
const createBaseline = (choose: Choose): ReplayPolicy => {
	const health = createHealthTracker();
	let loads: BaselineLoad[] = [];

	const entryOf = (name: string): BaselineLoad | undefined => loads.find(entry => entry.endpoint.name === name);

	return {
		setEndpoints(endpoints) {
			loads = endpoints.map(endpoint => ({endpoint, requests: entryOf(endpoint.name)?.requests ?? 0}));
			health.setEndpoints('', endpoints.map(endpoint => endpoint.name));
		},
		place(request) {
			const allowed = loads.filter(({endpoint}) =>
				endpoint.usable && endpoint.service === request.service && !request.excluded.has(endpoint.name) && health.roomOf(endpoint.name) > 0);
			if (allowed.length === 0) {
				return undefined;
			}

			const placement: Placement = {
				endpoint: choose(request, allowed).endpoint.name, incarnation: '', expectedCachedTokens: 0, expectedMs: 0,
			};
			return placement;
		},
		started(_request, placement) {
			const entry = entryOf(placement.endpoint);
			if (entry !== undefined) {
				entry.requests++;
			}
		},
		finished(_request, placement, outcome) {
			const entry = entryOf(placement.endpoint);
			if (entry !== undefined) {
				entry.requests = outcome.load === undefined ? Math.max(0, entry.requests - 1) : outcome.load.running + outcome.load.waiting;
			}

			if (outcome.result === 'failed') {
				health.failed(placement.endpoint);
			} else if (outcome.result === 'answered') {
				health.succeeded(placement.endpoint);
			}
		},
		observe(endpoint, load) {
			const entry = entryOf(endpoint);
			if (entry !== undefined) {
				entry.requests = load.running + load.waiting;
			}
		},
		evicted() {
			// Baselines don't track the contents of caches.
		},
	};
};

const createRoundRobin = ({random}: PolicyContext): ReplayPolicy => {
	let next = Math.floor(random() * 1000);
	return createBaseline((_request, allowed) => {
		next++;
		return allowed[next % allowed.length];
	});
};

const createLeastLoad = ({random}: PolicyContext): ReplayPolicy => createBaseline((_request, allowed) => {
	let best = allowed[0];
	let bestTie = 2;
	for (const entry of allowed) {
		const tie = random();
		if (entry.requests < best.requests || (entry.requests === best.requests && tie < bestTie)) {
			best = entry;
			bestTie = tie;
		}
	}

	return best;
});

/** Rendezvous hashing of one hash over the endpoints that may be used; a random endpoint without a hash. */
const createHashPolicy = (hashOf: (request: PlacementRequest) => bigint | undefined, random: () => number): ReplayPolicy =>
	createBaseline((request, allowed) => {
		const hash = hashOf(request);
		if (hash === undefined) {
			return allowed[Math.floor(random() * allowed.length)];
		}

		const [home] = homesByHash(hash, allowed.map(entry => entry.endpoint.name));
		return allowed.find(entry => entry.endpoint.name === home)!;
	});

const createProductPolicy = ({random, pieceTokens, options}: PolicyContext): ReplayPolicy =>
	createPlacer({random, pieceTokensOf: () => pieceTokens, ...options});

/** The policies by name, the product's first. */
export const policies = {
	hickorywalk: createProductPolicy,
	'round-robin': createRoundRobin,
	'least-load': createLeastLoad,
	'whole-prompt-hash': ({random}) => createHashPolicy(request => request.pieces.at(-1), random),
	'prefix-hash': ({random}) => createHashPolicy(request => request.pieces[0], random),
} as const satisfies Record<string, (context: PolicyContext) => ReplayPolicy>;

export type PolicyName = keyof typeof policies;

/** All names, the product's first. */
export const policyNames = Object.keys(policies) as PolicyName[];
