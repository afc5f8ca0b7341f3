/**
 * Selects the endpoints that a placement decision compares: the homes of the
 * prompt's shallowest level with a few spares, and endpoints where answers have
 * shown the prefix cached.
 */
import {type PlacementRequest} from '../serving/ports.js';
import {type EngineModel} from './engine-model.js';
import {type EngineRecord} from './engine-record.js';
import {type HealthTracker} from './health.js';
import {walkHomes} from './home-sets.js';
import {type FilledPlacerOptions} from './placement-options.js';
import {type PrefixLevel} from './prefix-levels.js';
import {
	decayedValue, isCurrent, type KnownPrefix, type PrefixMemory, type WarmHome,
} from './prefix-memory.js';
import {type ServiceEntry} from './service-table.js';

/** An endpoint that a placement decision considers. */
export type Candidate = {
	engine: EngineRecord;
	/** Pieces expected to be cached there, according to past answers. */
	cachedPieces: number;
	/** Depth of the level that `cachedPieces` is based on; 0 for none. */
	depth: number;
	/** Milliseconds since that level was last used there. */
	ageMs: number;
	/** Depth down to which it is a computed home of known levels. */
	homeDepth: number;
	/** Whether it is a home of the deepest level. */
	isHome: boolean;
};

/** Input of a candidate search. */
export type CandidateSearch = {
	request: PlacementRequest;
	service: ServiceEntry;
	levels: readonly PrefixLevel[];
	now: number;
};

/** Finds candidates for requests. */
export type CandidateFinder = {
	search: (search: CandidateSearch) => Iterable<Candidate>;
};

/** Estimated probability that a prefix is still cached `ageMs` after its last use. */
const cachedProbability = (ageMs: number, survivalMs: number): number => {
	const squared = (ageMs / survivalMs) * (ageMs / survivalMs);
	return 1 / (1 + (squared * squared));
};

const coldCandidate = (engine: EngineRecord): Candidate => ({
	engine, cachedPieces: 0, depth: 0, ageMs: 0, homeDepth: 0, isHome: false,
});

/** A level is hot when its share of requests is at least this fraction of one endpoint's share. */
const hotLevelShare = 0.25;

/** Added to the number of requests, so that shares computed from few requests stay small. */
const priorRequests = 20;

/** Dependencies of a candidate finder. */
export type CandidateFinderParts = {
	memory: PrefixMemory;
	health: HealthTracker;
	model: EngineModel;
	options: FilledPlacerOptions;
};

/**
 * Creates a finder over what a placer has learned.
 * @internal
 */
export const createCandidateFinder = ({memory, health, model, options}: CandidateFinderParts): CandidateFinder => {
	/** Uses only state that all routers share, so that they skip the same endpoints in the order of homes. */
	const canServe = (engine: EngineRecord, request: PlacementRequest): boolean =>
		engine.usable && (engine.version === '' || engine.version === request.version);

	const isEligible = (engine: EngineRecord, {request, now}: CandidateSearch): boolean =>
		canServe(engine, request)
		&& !request.excluded.has(engine.name)
		&& model.hasRoom(engine, now)
		&& engine.inFlightCount < health.roomOf(engine.name);

	/** Number of homes for a prefix, from its share of the service's requests; a fraction. */
	const countHomes = (known: KnownPrefix | undefined, allRequests: number, {service, now}: CandidateSearch): number => {
		if (known === undefined) {
			return 0;
		}

		const requests = decayedValue(known.requests, now);
		const sinceFirst = allRequests - decayedValue(known.before, now);
		// Lower confidence bound of the request count: a prefix seen once or twice is
		// not hot.
		const share = Math.max(0, requests - Math.sqrt(requests)) / (sinceFirst + priorRequests);
		return Math.min(options.mostHomes, share * service.engines.length * options.homeHeadroom);
	};

	/** The first `count` endpoints of the prompt's home order that can serve the request. */
	const takeFromOrder = (search: CandidateSearch, count: number): EngineRecord[] => {
		const {homes} = search.service;
		const [root] = search.request.pieces;
		const taken: EngineRecord[] = [];
		let order = homes.of(root, count);
		for (let index = 0; index < order.length && taken.length < count; index++) {
			if (canServe(order[index], search.request)) {
				taken.push(order[index]);
			}

			if (index === order.length - 1) {
				order = homes.of(root, order.length + 1);
			}
		}

		return taken;
	};

	/**
	 * When the part below the hot levels is much longer than these, another copy of
	 * the hot levels costs little. The homes of the long part are then spread over
	 * the service, which balances load, instead of staying within the few homes of
	 * the hot levels.
	 */
	const spreadLongSuffix = (sizes: number[], {request, service, levels}: CandidateSearch): void => {
		let hot = sizes.length - 1;
		while (hot >= 0 && sizes[hot] < options.homeHeadroom * hotLevelShare) {
			hot--;
		}

		if (hot >= 0 && request.pieces.length > levels[hot].depth * (1 + options.longSuffixRatio)) {
			sizes.fill(Math.min(service.engines.length, options.mostHomes), 0, hot + 1);
		}
	};

	const addCandidate = (found: Map<EngineRecord, Candidate>, search: CandidateSearch, engine: EngineRecord, homeDepth: number, isHome: boolean): void => { // eslint-disable-line max-params
		if (isEligible(engine, search)) {
			found.set(engine, {
				engine, cachedPieces: 0, depth: 0, ageMs: 0, homeDepth, isHome,
			});
		}
	};

	const addHomes = (found: Map<EngineRecord, Candidate>, search: CandidateSearch, known: ReadonlyArray<KnownPrefix | undefined>): void => {
		const allRequests = decayedValue(search.service.requests, search.now);
		const sizes = known.map(prefix => countHomes(prefix, allRequests, search));
		spreadLongSuffix(sizes, search);
		const rootCount = Math.max(1, Math.ceil(sizes[0]));
		const root = takeFromOrder(search, rootCount + options.spareHomes);
		if (root.length === 0) {
			return;
		}

		const path = walkHomes(root, search.levels, sizes, options.consideredHomes);
		for (const [index, engine] of path.considered.entries()) {
			const isHome = index < path.deepestCount;
			addCandidate(found, search, engine, isHome ? path.deepestDepth : path.otherDepth, isHome);
		}

		for (let index = rootCount; index < root.length; index++) {
			addCandidate(found, search, root[index], 0, false);
		}
	};

	const recordWarm = (candidate: Candidate, {depth}: PrefixLevel, {usedAt}: WarmHome, now: number): void => {
		const ageMs = now - usedAt;
		const cachedPieces = depth * cachedProbability(ageMs, candidate.engine.survivalMs);
		if (cachedPieces > candidate.cachedPieces) {
			candidate.cachedPieces = cachedPieces;
			candidate.depth = depth;
			candidate.ageMs = ageMs;
		}
	};

	/** Adds endpoints where answers have shown the level cached. When there are many, only existing candidates are updated. */
	const addWarm = (found: Map<EngineRecord, Candidate>, search: CandidateSearch, level: PrefixLevel, {homes}: KnownPrefix): void => {
		if (homes.size > options.consideredHomes) {
			for (const candidate of found.values()) {
				const home = homes.get(candidate.engine);
				if (home !== undefined && isCurrent(home, candidate.engine)) {
					recordWarm(candidate, level, home, search.now);
				}
			}

			return;
		}

		for (const [engine, home] of homes) {
			if (!isCurrent(home, engine)) {
				continue;
			}

			let candidate = found.get(engine);
			if (candidate === undefined && isEligible(engine, search)) {
				candidate = coldCandidate(engine);
				found.set(engine, candidate);
			}

			if (candidate !== undefined) {
				recordWarm(candidate, level, home, search.now);
			}
		}
	};

	const addAll = (found: Map<EngineRecord, Candidate>, search: CandidateSearch): void => {
		for (const engine of search.service.engines) {
			if (isEligible(engine, search)) {
				found.set(engine, coldCandidate(engine));
			}
		}
	};

	/** Prompts shorter than one piece have no home; random endpoints are considered instead. */
	const addRandom = (found: Map<EngineRecord, Candidate>, search: CandidateSearch): void => {
		const {engines} = search.service;
		for (let drawn = 0; drawn < options.randomCandidates; drawn++) {
			const engine = engines[Math.floor(options.random() * engines.length)];
			if (isEligible(engine, search)) {
				found.set(engine, coldCandidate(engine));
			}
		}
	};

	const addKnown = (found: Map<EngineRecord, Candidate>, search: CandidateSearch): void => {
		const known = search.levels.map(level => memory.get(level.hash));
		addHomes(found, search, known);
		for (const [index, level] of search.levels.entries()) {
			const prefix = known[index];
			if (prefix !== undefined) {
				addWarm(found, search, level, prefix);
			}
		}
	};

	return {
		search(search) {
			const found = new Map<EngineRecord, Candidate>();
			if (search.levels.length === 0) {
				addRandom(found, search);
			} else {
				addKnown(found, search);
			}

			if (found.size === 0) {
				addAll(found, search);
			}

			return found.values();
		},
	};
};
