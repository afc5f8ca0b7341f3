/**
 * Orders the endpoints for a prefix by rendezvous hashing, from the prefix's hash
 * and the endpoints' names alone. Every router, also a restarted one, computes
 * the same order; adding or removing an endpoint moves only the prefixes that
 * have it as a home.
 */
import {LRUCache} from 'lru-cache';
import {type EngineRecord} from './engine-record.js';
import {halvesOf, rankOf} from './rendezvous.js';

/** Order of endpoints for each prefix; created anew when the endpoints change. */
export type HomeOrder = {
	/** At least the first `wanted` homes of a prefix, as far as there are so many and `longest` allows; best first. */
	of: (hash: bigint, wanted: number) => readonly EngineRecord[];
};

/** Most prefixes have few homes, and a short order is faster to compute. */
const minOrderLength = 8;

/**
 * Creates the order over some endpoints. The ranks of all endpoints are computed
 * once for a prefix, and again when it needs a longer order; orders are cached
 * for the `remembered` most recently used prefixes.
 * @internal
 */
export const createHomeOrder = (engines: readonly EngineRecord[], longest: number, remembered: number): HomeOrder => {
	const known = new LRUCache<bigint, readonly EngineRecord[]>({max: remembered});
	const seeds = Int32Array.from(engines, engine => engine.seed);
	const ranks = new Int32Array(longest + 1);

	/** Inserts an endpoint by rank among the `filled` first ones; the last may drop out. */
	const insert = (first: EngineRecord[], filled: number, rank: number, engine: EngineRecord): void => {
		let place = filled;
		while (place > 0 && ranks[place - 1] > rank) {
			ranks[place] = ranks[place - 1];
			first[place] = first[place - 1];
			place--;
		}

		ranks[place] = rank;
		first[place] = engine;
	};

	/** Keeps the lowest ranks by insertion sort; insertions are rare once the first few are found. */
	const compute = (hash: bigint, length: number): readonly EngineRecord[] => {
		const halves = halvesOf(hash);
		const first: EngineRecord[] = [];
		let filled = 0;
		for (let index = 0; index < seeds.length; index++) { // eslint-disable-line unicorn/no-for-loop
			const rank = rankOf(halves, seeds[index]);
			if (filled < length) {
				insert(first, filled, rank, engines[index]);
				filled++;
			} else if (rank < ranks[length - 1]) {
				insert(first, length - 1, rank, engines[index]);
			}
		}

		return first;
	};

	return {
		of(hash, wanted) {
			let order = known.get(hash);
			const most = Math.min(longest, engines.length);
			if (order === undefined || (order.length < wanted && order.length < most)) {
				const length = Math.min(most, Math.max(minOrderLength, 2 * wanted));
				order = compute(hash, length);
				known.set(hash, order);
			}

			return order;
		},
	};
};
