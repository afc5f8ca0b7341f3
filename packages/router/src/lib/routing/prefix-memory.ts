/**
 * What answers have taught about where prefixes are cached: a bounded number
 * of prefixes, the least recently used forgotten first, each with the few
 * endpoints that served it. It corrects the computed homes; it is no index.
 */
import {LRUCache} from 'lru-cache';
import {type EngineRecord} from './engine-record.js';

/** An endpoint that served a prefix. */
export type WarmHome = {
	engine: EngineRecord;
	/** Generation of the engine's cache at the time; another one has lost it. */
	generation: number;
	/** When the prefix was last used there, on the monotonic clock. */
	usedAt: number;
};

/** The bounded memory. */
export type PrefixMemory = {
	/** Endpoints that served the prefix, dead generations left out. */
	homesOf: (piece: bigint) => readonly WarmHome[];
	/** The prefixes were used at an endpoint now. */
	learn: (pieces: readonly bigint[], engine: EngineRecord, now: number) => void;
	/** The prefixes are not cached at an endpoint. */
	forget: (pieces: readonly bigint[], engine: EngineRecord) => void;
	/** Prefixes kept. */
	size: () => number;
	/** The prefixes with their homes, the most recently used first. */
	entries: () => IterableIterator<[bigint, WarmHome[]]>;
};

/**
 * Opens a memory of at most `bound` prefixes with at most `homesEach`
 * endpoints each.
 * @internal
 */
export const createPrefixMemory = (bound: number, homesEach: number): PrefixMemory => {
	const known = new LRUCache<bigint, WarmHome[]>({max: bound});
	const none: readonly WarmHome[] = [];

	const learnOne = (piece: bigint, engine: EngineRecord, now: number): void => {
		const homes = known.get(piece);
		if (homes === undefined) {
			known.set(piece, [{engine, generation: engine.generation, usedAt: now}]);
			return;
		}

		let oldest = homes[0];
		for (const home of homes) {
			if (home.engine === engine) {
				home.generation = engine.generation;
				home.usedAt = now;
				return;
			}

			if (home.usedAt < oldest.usedAt) {
				oldest = home;
			}
		}

		if (homes.length < homesEach) {
			homes.push({engine, generation: engine.generation, usedAt: now});
			return;
		}

		oldest.engine = engine;
		oldest.generation = engine.generation;
		oldest.usedAt = now;
	};

	return {
		homesOf(piece) {
			const homes = known.get(piece);
			if (homes === undefined) {
				return none;
			}

			if (homes.some(home => home.generation !== home.engine.generation)) {
				const alive = homes.filter(home => home.generation === home.engine.generation);
				known.set(piece, alive);
				return alive;
			}

			return homes;
		},
		learn(pieces, engine, now) {
			for (const piece of pieces) {
				learnOne(piece, engine, now);
			}
		},
		forget(pieces, engine) {
			for (const piece of pieces) {
				const homes = known.peek(piece);
				const index = homes?.findIndex(home => home.engine === engine) ?? -1;
				if (index !== -1) {
					homes!.splice(index, 1);
				}
			}
		},
		size: () => known.size,
		entries: () => known.entries() as IterableIterator<[bigint, WarmHome[]]>,
	};
};
