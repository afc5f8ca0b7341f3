/**
 * Which endpoints a decision looks at: those that answers have shown warm for
 * some level of the prompt, the first computed homes of its shallowest level,
 * and a few at random as a way out when all of these are crowded.
 */
import {type PlacementRequest} from '../gateway/ports.js';
import {type EngineRecord} from './engine-record.js';
import {type HealthTracker} from './health.js';
import {type HomeOrder} from './home-order.js';
import {type PrefixLevel} from './prefix-levels.js';
import {type PrefixMemory} from './prefix-memory.js';
import {type FilledPlacerOptions} from './placement-options.js';
import {type ServiceEntry} from './service-table.js';

/** An endpoint under consideration. */
export type Candidate = {
	engine: EngineRecord;
	/** Pieces expected to be cached there. */
	cachedPieces: number;
	/** Depth of the level that this rests on; 0 for none. */
	depth: number;
	/** Age of that level's last use there. */
	ageMs: number;
};

/** Finds candidates for requests. */
export type CandidateFinder = {
	find: (request: PlacementRequest, service: ServiceEntry, levels: readonly PrefixLevel[], now: number) => Candidate[];
};

/** How likely a prefix is still cached after this long without use. */
const stillCached = (ageMs: number, survivalMs: number): number => {
	const squared = (ageMs / survivalMs) * (ageMs / survivalMs);
	return 1 / (1 + (squared * squared));
};

/** Computed homes beyond those known warm; the room into which a hot prefix grows. */
const sparseHomes = 2;

/**
 * Opens a finder over what a placer has learned.
 * @internal
 */
export const createCandidateFinder = (memory: PrefixMemory, health: HealthTracker, options: FilledPlacerOptions): CandidateFinder => {
	const mayTake = (engine: EngineRecord, request: PlacementRequest, now: number): boolean =>
		engine.usable
		&& !request.excluded.has(engine.name)
		&& (engine.version === '' || engine.version === request.version)
		&& engine.hasRoom(now)
		&& engine.unfinished < health.roomOf(engine.name);

	const cold = (engine: EngineRecord): Candidate => ({
		engine, cachedPieces: 0, depth: 0, ageMs: 0,
	});

	/** Everything that answers have shown warm, with the most that it may have cached. */
	const findWarm = (found: Map<EngineRecord, Candidate>, request: PlacementRequest, levels: readonly PrefixLevel[], now: number): void => {
		for (const level of levels) {
			const homes = memory.homesOf(level.hash);
			if (homes.length === 0) {
				return;
			}

			for (const home of homes) {
				let candidate = found.get(home.engine);
				if (candidate === undefined) {
					if (!mayTake(home.engine, request, now)) {
						continue;
					}

					candidate = cold(home.engine);
					found.set(home.engine, candidate);
				}

				const ageMs = now - home.usedAt;
				const cachedPieces = level.depth * stillCached(ageMs, home.engine.survivalMs);
				if (cachedPieces > candidate.cachedPieces) {
					candidate.cachedPieces = cachedPieces;
					candidate.depth = level.depth;
					candidate.ageMs = ageMs;
				}
			}
		}
	};

	/** Goes down the computed order until it has found so many new homes or the order ends. */
	const addComputed = (found: Map<EngineRecord, Candidate>, request: PlacementRequest, homes: HomeOrder, now: number): void => {
		const root = request.pieces[0];
		let wanted = sparseHomes;
		let order = homes.of(root, found.size + wanted);
		for (let index = 0; index < order.length && wanted > 0; index++) {
			const engine = order[index];
			if (!found.has(engine) && mayTake(engine, request, now)) {
				found.set(engine, cold(engine));
				wanted--;
			}

			if (index === order.length - 1) {
				order = homes.of(root, order.length + wanted);
			}
		}
	};

	const addRandom = (found: Map<EngineRecord, Candidate>, request: PlacementRequest, service: ServiceEntry, now: number): void => {
		const {engines} = service;
		for (let drawn = 0; drawn < options.randomCandidates; drawn++) {
			const engine = engines[Math.floor(options.random() * engines.length)];
			if (!found.has(engine) && mayTake(engine, request, now)) {
				found.set(engine, cold(engine));
			}
		}
	};

	return {
		find(request, service, levels, now) {
			const found = new Map<EngineRecord, Candidate>();
			findWarm(found, request, levels, now);
			if (levels.length > 0) {
				addComputed(found, request, service.homes, now);
			}

			addRandom(found, request, service, now);
			if (found.size === 0) {
				for (const engine of service.engines) {
					if (mayTake(engine, request, now)) {
						found.set(engine, cold(engine));
					}
				}
			}

			return [...found.values()];
		},
	};
};
