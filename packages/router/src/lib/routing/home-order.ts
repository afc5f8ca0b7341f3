/**
 * Where a prefix belongs: an order of endpoints computed from the prefix's hash
 * and the endpoints' names alone (rendezvous hashing). Every router, a
 * restarted one included, computes the same order; an endpoint that comes or
 * goes moves only what belongs to itself.
 */
import {LRUCache} from 'lru-cache';
import {type EngineRecord} from './engine-record.js';
import {halvesOf, rankOf} from './rendezvous.js';

/** Orders endpoints for prefixes; made anew when the endpoints change. */
export type HomeOrder = {
	/** At least the first `wanted` homes of a prefix, where there are so many and `longest` allows; the best first. */
	of: (hash: bigint, wanted: number) => readonly EngineRecord[];
};

/** Most prefixes have few homes: a short order is quicker to make. */
const shortestOrder = 8;

/**
 * Opens the order over some endpoints. Ranks of all endpoints are computed
 * once for a prefix, again when it needs a longer order, and kept for the `remembered` prefixes used last.
 * @internal
 */
export const createHomeOrder = (engines: readonly EngineRecord[], longest: number, remembered: number): HomeOrder => {
	const known = new LRUCache<bigint, readonly EngineRecord[]>({max: remembered});
	const seeds = Int32Array.from(engines, engine => engine.seed);
	const ranks = new Int32Array(longest + 1);

	/** Puts an endpoint in its place among the `filled` first ones; the last may fall out. */
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

	/** Keeps the lowest ranks by insertion, which is rare once the first are found. */
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
				const length = Math.min(most, Math.max(shortestOrder, 2 * wanted));
				order = compute(hash, length);
				known.set(hash, order);
			}

			return order;
		},
	};
};
