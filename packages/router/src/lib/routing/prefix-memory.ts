/**
 * What requests and answers have shown about prefixes: the share of requests that
 * each has, and the few endpoints that served it. The number of prefixes is
 * bounded, and the least recently used is evicted first. It corrects the computed
 * homes; it is not an index of what is cached.
 */
import {LRUCache} from 'lru-cache';
import {type EngineRecord} from './engine-record.js';
import {type PrefixLevel} from './prefix-levels.js';

/** State of a prefix at an endpoint that served it. */
export type WarmHome = {
	/** Generation of the engine's cache at the time; the prefix is lost when the engine's generation differs. */
	generation: number;
	/** When the prefix was last used there, on the monotonic clock. */
	usedAt: number;
};

/** A remembered prefix. */
export type KnownPrefix = {
	readonly homes: Map<EngineRecord, WarmHome>;
	/** Requests with the prefix, with older ones decayed. */
	readonly requests: DecayingCount;
	/** Requests of its service before the first one with the prefix. */
	readonly before: DecayingCount;
};

/** A count that decays exponentially. */
export type DecayingCount = {value: number; at: number};

/** Half-life of a decaying count, in milliseconds. */
const halfLifeMs = 20_000;
const decayPerMs = Math.LN2 / halfLifeMs;

/** Returns the decayed value at `now`. */
export const decayedValue = (count: DecayingCount, now: number): number =>
	count.value * Math.exp((count.at - now) * decayPerMs);

/** Adds to the decayed value. */
export const addDecaying = (count: DecayingCount, now: number, amount: number): void => {
	count.value = decayedValue(count, now) + amount;
	count.at = now;
};

/** A bounded memory of prefixes. */
export type PrefixMemory = {
	/** Looks a prefix up; callers must check each home with {@link isCurrent}. */
	get: (piece: bigint) => KnownPrefix | undefined;
	/** Looks a prefix up, adding it when it is not known. */
	getOrCreate: (piece: bigint) => KnownPrefix;
	/** Counts a placed request with these prefixes; `all` is the count of its service's requests. */
	count: (levels: readonly PrefixLevel[], all: DecayingCount, now: number) => void;
	/** Records that the prefixes were used at an endpoint now. */
	learn: (levels: readonly PrefixLevel[], engine: EngineRecord, now: number) => void;
	/** Records that the prefixes are not cached at an endpoint. */
	forget: (pieces: readonly bigint[], engine: EngineRecord) => void;
	/** Number of prefixes remembered. */
	size: () => number;
	/** The prefixes, the most recently used first. */
	entries: () => IterableIterator<[bigint, KnownPrefix]>;
};

/** Whether the engine's cache has not been lost since the prefix was used there. */
export const isCurrent = (home: WarmHome, engine: EngineRecord): boolean => home.generation === engine.generation;

/**
 * Creates a memory of at most `bound` prefixes with at most `homesEach` endpoints
 * each.
 * @internal
 */
export const createPrefixMemory = (bound: number, homesEach: number): PrefixMemory => {
	const prefixes = new LRUCache<bigint, KnownPrefix>({max: bound});

	const getOrCreate = (piece: bigint): KnownPrefix => {
		let known = prefixes.get(piece);
		if (known === undefined) {
			known = {homes: new Map(), requests: {value: 0, at: 0}, before: {value: 0, at: 0}};
			prefixes.set(piece, known);
		}

		return known;
	};

	const dropOldest = (homes: Map<EngineRecord, WarmHome>): void => {
		let oldest: EngineRecord | undefined;
		let oldestAt = Number.POSITIVE_INFINITY;
		for (const [engine, {usedAt}] of homes) {
			if (usedAt < oldestAt) {
				oldest = engine;
				oldestAt = usedAt;
			}
		}

		homes.delete(oldest!);
	};

	const learnOne = ({homes}: KnownPrefix, engine: EngineRecord, now: number): void => {
		const home = homes.get(engine);
		if (home !== undefined) {
			home.generation = engine.generation;
			home.usedAt = now;
			return;
		}

		if (homes.size >= homesEach) {
			dropOldest(homes);
		}

		homes.set(engine, {generation: engine.generation, usedAt: now});
	};

	return {
		get: piece => prefixes.get(piece),
		getOrCreate,
		count(levels, all, now) {
			for (const level of levels) {
				const {requests, before} = getOrCreate(level.hash);
				if (requests.value === 0) {
					before.value = all.value;
					before.at = all.at;
				}

				addDecaying(requests, now, 1);
			}
		},
		learn(levels, engine, now) {
			for (const level of levels) {
				learnOne(getOrCreate(level.hash), engine, now);
			}
		},
		forget(pieces, engine) {
			for (const piece of pieces) {
				prefixes.peek(piece)?.homes.delete(engine);
			}
		},
		size: () => prefixes.size,
		entries: () => prefixes.entries() as IterableIterator<[bigint, KnownPrefix]>,
	};
};
