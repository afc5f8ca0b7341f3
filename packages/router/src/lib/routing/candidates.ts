/**
 * Which endpoints a decision looks at: the homes of the prompt's shallowest
 * level with a few spare ones, and those that answers have shown warm.
 */
import {type PlacementRequest} from '../serving/ports.js';
import {type EngineModel} from './engine-model.js';
import {type EngineRecord} from './engine-record.js';
import {type HealthTracker} from './health.js';
import {walkHomes} from './home-sets.js';
import {type FilledPlacerOptions} from './placement-options.js';
import {type PrefixLevel} from './prefix-levels.js';
import {
	fadedValue, isAlive, type KnownPrefix, type PrefixMemory, type WarmHome,
} from './prefix-memory.js';
import {type ServiceEntry} from './service-table.js';

/** An endpoint under consideration. */
export type Candidate = {
	engine: EngineRecord;
	/** Pieces expected to be cached there, as answers have shown. */
	cachedPieces: number;
	/** Depth of the level that this rests on; 0 for none. */
	depth: number;
	/** Age of that level's last use there. */
	ageMs: number;
	/** Depth down to which it is a computed home of levels that are known. */
	homeDepth: number;
	/** Whether it is a home of the deepest level. */
	isHome: boolean;
};

/** What candidates are looked for. */
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

/** How likely a prefix is still cached after this long without use. */
const stillCached = (ageMs: number, survivalMs: number): number => {
	const squared = (ageMs / survivalMs) * (ageMs / survivalMs);
	return 1 / (1 + (squared * squared));
};

const coldCandidate = (engine: EngineRecord): Candidate => ({
	engine, cachedPieces: 0, depth: 0, ageMs: 0, homeDepth: 0, isHome: false,
});

/** Part of one endpoint's share of requests from which on a level counts as hot. */
const hotPart = 0.25;

/** Requests assumed to have come before the first, so that shares of few requests stay small. */
const assumedRequests = 20;

/** What candidates are found with. */
export type CandidateFinderParts = {
	memory: PrefixMemory;
	health: HealthTracker;
	model: EngineModel;
	options: FilledPlacerOptions;
};

/**
 * Opens a finder over what a placer has learned.
 * @internal
 */
export const createCandidateFinder = ({memory, health, model, options}: CandidateFinderParts): CandidateFinder => {
	/** What all routers know alike, so that they skip the same endpoints in the order of homes. */
	const canServe = (engine: EngineRecord, request: PlacementRequest): boolean =>
		engine.usable && (engine.version === '' || engine.version === request.version);

	const mayTake = (engine: EngineRecord, {request, now}: CandidateSearch): boolean =>
		canServe(engine, request)
		&& !request.excluded.has(engine.name)
		&& model.hasRoom(engine, now)
		&& engine.unfinished < health.roomOf(engine.name);

	/** Homes that a prefix's share of the service's requests asks for, as a fraction. */
	const countHomes = (known: KnownPrefix | undefined, allRequests: number, {service, now}: CandidateSearch): number => {
		if (known === undefined) {
			return 0;
		}

		const requests = fadedValue(known.requests, now);
		const sinceFirst = allRequests - fadedValue(known.before, now);
		// The lower end of what so few requests tell: a prefix seen once or twice
		// is no hot one.
		const share = Math.max(0, requests - Math.sqrt(requests)) / (sinceFirst + assumedRequests);
		return Math.min(options.mostHomes, share * service.engines.length * options.homeHeadroom);
	};

	/** The first endpoints of the computed order that can serve the request. */
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
	 * Where the part below the hot levels is much longer than these, a further
	 * copy of them costs little: the homes of the long part are then spread over
	 * the service, which evens out the load, and not kept to the hot levels' few.
	 */
	const widenForLongRest = (sizes: number[], {request, service, levels}: CandidateSearch): void => {
		let hot = sizes.length - 1;
		while (hot >= 0 && sizes[hot] < options.homeHeadroom * hotPart) {
			hot--;
		}

		if (hot >= 0 && request.pieces.length > levels[hot].depth * (1 + options.longRest)) {
			sizes.fill(Math.min(service.engines.length, options.mostHomes), 0, hot + 1);
		}
	};

	const addCandidate = (found: Map<EngineRecord, Candidate>, search: CandidateSearch, engine: EngineRecord, homeDepth: number, isHome: boolean): void => { // eslint-disable-line max-params
		if (mayTake(engine, search)) {
			found.set(engine, {
				engine, cachedPieces: 0, depth: 0, ageMs: 0, homeDepth, isHome,
			});
		}
	};

	const addHomes = (found: Map<EngineRecord, Candidate>, search: CandidateSearch, known: ReadonlyArray<KnownPrefix | undefined>): void => {
		const allRequests = fadedValue(search.service.requests, search.now);
		const sizes = known.map(prefix => countHomes(prefix, allRequests, search));
		widenForLongRest(sizes, search);
		const rootCount = Math.max(1, Math.ceil(sizes[0]));
		const root = takeFromOrder(search, rootCount + options.spareHomes);
		if (root.length === 0) {
			return;
		}

		const path = walkHomes(root, search.levels, sizes, options.consideredHomes);
		for (const [index, engine] of path.considered.entries()) {
			const isHome = index < path.deepest;
			addCandidate(found, search, engine, isHome ? path.deepestDepth : path.otherDepth, isHome);
		}

		for (let index = rootCount; index < root.length; index++) {
			addCandidate(found, search, root[index], 0, false);
		}
	};

	const noteWarm = (candidate: Candidate, {depth}: PrefixLevel, {usedAt}: WarmHome, now: number): void => {
		const ageMs = now - usedAt;
		const cachedPieces = depth * stillCached(ageMs, candidate.engine.survivalMs);
		if (cachedPieces > candidate.cachedPieces) {
			candidate.cachedPieces = cachedPieces;
			candidate.depth = depth;
			candidate.ageMs = ageMs;
		}
	};

	/** Endpoints that answers have shown warm for a level; of many only those under consideration. */
	const addWarm = (found: Map<EngineRecord, Candidate>, search: CandidateSearch, level: PrefixLevel, {homes}: KnownPrefix): void => {
		if (homes.size > options.consideredHomes) {
			for (const candidate of found.values()) {
				const home = homes.get(candidate.engine);
				if (home !== undefined && isAlive(home, candidate.engine)) {
					noteWarm(candidate, level, home, search.now);
				}
			}

			return;
		}

		for (const [engine, home] of homes) {
			if (!isAlive(home, engine)) {
				continue;
			}

			let candidate = found.get(engine);
			if (candidate === undefined && mayTake(engine, search)) {
				candidate = coldCandidate(engine);
				found.set(engine, candidate);
			}

			if (candidate !== undefined) {
				noteWarm(candidate, level, home, search.now);
			}
		}
	};

	const addAll = (found: Map<EngineRecord, Candidate>, search: CandidateSearch): void => {
		for (const engine of search.service.engines) {
			if (mayTake(engine, search)) {
				found.set(engine, coldCandidate(engine));
			}
		}
	};

	/** Prompts without a whole piece have no home: some endpoints are drawn. */
	const addDrawn = (found: Map<EngineRecord, Candidate>, search: CandidateSearch): void => {
		const {engines} = search.service;
		for (let drawn = 0; drawn < options.drawnCandidates; drawn++) {
			const engine = engines[Math.floor(options.random() * engines.length)];
			if (mayTake(engine, search)) {
				found.set(engine, coldCandidate(engine));
			}
		}
	};

	const addKnown = (found: Map<EngineRecord, Candidate>, search: CandidateSearch): void => {
		const known = search.levels.map(level => memory.look(level.hash));
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
				addDrawn(found, search);
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
