/**
 * Which endpoints a decision looks at: the homes of the prompt's shallowest
 * level with a few spare ones, and those that answers have shown warm.
 */
import {type PlacementRequest} from '../gateway/ports.js';
import {type EngineRecord} from './engine-record.js';
import {type HealthTracker} from './health.js';
import {walkHomes} from './home-sets.js';
import {type FilledPlacerOptions} from './placement-options.js';
import {type PrefixLevel} from './prefix-levels.js';
import {fadedValue, type KnownPrefix, type PrefixMemory} from './prefix-memory.js';
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

/** Requests assumed to have come before the first, so that shares of few requests stay small. */
const assumedRequests = 20;

/**
 * Opens a finder over what a placer has learned.
 * @internal
 */
export const createCandidateFinder = (memory: PrefixMemory, health: HealthTracker, options: FilledPlacerOptions): CandidateFinder => {
	const mayTake = (engine: EngineRecord, {request, now}: CandidateSearch): boolean =>
		engine.usable
		&& !request.excluded.has(engine.name)
		&& (engine.version === '' || engine.version === request.version)
		&& engine.hasRoom(now)
		&& engine.unfinished < health.roomOf(engine.name);

	/** Homes that a prefix's share of the service's requests asks for, as a fraction. */
	const countHomes = (known: KnownPrefix | undefined, {service, now}: CandidateSearch): number => {
		if (known === undefined) {
			return 0;
		}

		const requests = fadedValue(known.requests, now);
		const sinceFirst = fadedValue(service.requests, now) - fadedValue(known.before, now);
		// The lower end of what so few requests tell: a prefix seen once or twice
		// is no hot one.
		const share = Math.max(0, requests - Math.sqrt(requests)) / (sinceFirst + assumedRequests);
		return Math.min(options.mostHomes, share * service.engines.length * options.homeHeadroom);
	};

	/** The first endpoints of the computed order that may take the request. */
	const takeFromOrder = (search: CandidateSearch, count: number): EngineRecord[] => {
		const {homes} = search.service;
		const [root] = search.request.pieces;
		const taken: EngineRecord[] = [];
		let order = homes.of(root, count);
		for (let index = 0; index < order.length && taken.length < count; index++) {
			if (mayTake(order[index], search)) {
				taken.push(order[index]);
			}

			if (index === order.length - 1) {
				order = homes.of(root, order.length + 1);
			}
		}

		return taken;
	};

	const addHomes = (found: Map<EngineRecord, Candidate>, search: CandidateSearch, known: ReadonlyArray<KnownPrefix | undefined>): void => {
		const sizes = known.map(prefix => countHomes(prefix, search));
		const root = takeFromOrder(search, Math.max(1, Math.ceil(sizes[0])) + options.spareHomes);
		if (root.length === 0) {
			return;
		}

		const {deepest, depths} = walkHomes(root, search.levels, sizes);
		for (const engine of root) {
			found.set(engine, {...coldCandidate(engine), homeDepth: depths.get(engine) ?? 0, isHome: deepest.includes(engine)});
		}
	};

	/** Everything that answers have shown warm for a level, with the most that it may have cached. */
	const addWarm = (found: Map<EngineRecord, Candidate>, search: CandidateSearch, {depth}: PrefixLevel, known: KnownPrefix): void => {
		for (const {engine, usedAt} of known.homes) {
			let candidate = found.get(engine);
			if (candidate === undefined) {
				if (!mayTake(engine, search)) {
					continue;
				}

				candidate = coldCandidate(engine);
				found.set(engine, candidate);
			}

			const ageMs = search.now - usedAt;
			const cachedPieces = depth * stillCached(ageMs, engine.survivalMs);
			if (cachedPieces > candidate.cachedPieces) {
				candidate.cachedPieces = cachedPieces;
				candidate.depth = depth;
				candidate.ageMs = ageMs;
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
