/**
 * What requests and answers have taught about prefixes: how large a share of
 * the requests has each, and which few endpoints served it. The number of
 * prefixes is bounded, the least recently used forgotten first. It corrects the
 * computed homes; it is no index of what is cached.
 */
import {LRUCache} from 'lru-cache';
import {type EngineRecord} from './engine-record.js';
import {type PrefixLevel} from './prefix-levels.js';

/** What is known of a prefix at an endpoint that served it. */
export type WarmHome = {
	/** Generation of the engine's cache at the time; another one has lost it. */
	generation: number;
	/** When the prefix was last used there, on the monotonic clock. */
	usedAt: number;
};

/** A prefix that is remembered. */
export type KnownPrefix = {
	readonly homes: Map<EngineRecord, WarmHome>;
	/** Requests with the prefix, older ones counting less. */
	readonly requests: FadingCount;
	/** Requests of its service that had come before the first one with the prefix. */
	readonly before: FadingCount;
};

/** A count whose older part fades by halves. */
export type FadingCount = {value: number; at: number};

/** Time in which a fading count loses half its value, in milliseconds. */
const halfLifeMs = 20_000;
const decayPerMs = Math.LN2 / halfLifeMs;

/** The value now. */
export const fadedValue = (count: FadingCount, now: number): number =>
	count.value * Math.exp((count.at - now) * decayPerMs);

/** Adds to the value. */
export const addFading = (count: FadingCount, now: number, amount: number): void => {
	count.value = fadedValue(count, now) + amount;
	count.at = now;
};

/** The bounded memory. */
export type PrefixMemory = {
	/** What is known of a prefix; callers compare the generation of each home. */
	look: (piece: bigint) => KnownPrefix | undefined;
	/** The same; a prefix that is not known is begun. */
	open: (piece: bigint) => KnownPrefix;
	/** A request with these prefixes was placed, one of `all` of its service. */
	count: (levels: readonly PrefixLevel[], all: FadingCount, now: number) => void;
	/** The prefixes were used at an endpoint now. */
	learn: (levels: readonly PrefixLevel[], engine: EngineRecord, now: number) => void;
	/** The prefixes are not cached at an endpoint. */
	forget: (pieces: readonly bigint[], engine: EngineRecord) => void;
	/** Prefixes kept. */
	size: () => number;
	/** The prefixes, the most recently used first. */
	entries: () => IterableIterator<[bigint, KnownPrefix]>;
};

/** Whether the engine's cache has not been lost since. */
export const isAlive = (home: WarmHome, engine: EngineRecord): boolean => home.generation === engine.generation;

/**
 * Opens a memory of at most `bound` prefixes with at most `homesEach`
 * endpoints each.
 * @internal
 */
export const createPrefixMemory = (bound: number, homesEach: number): PrefixMemory => {
	const prefixes = new LRUCache<bigint, KnownPrefix>({max: bound});

	const open = (piece: bigint): KnownPrefix => {
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
		look: piece => prefixes.get(piece),
		open,
		count(levels, all, now) {
			for (const level of levels) {
				const {requests, before} = open(level.hash);
				if (requests.value === 0) {
					before.value = all.value;
					before.at = all.at;
				}

				addFading(requests, now, 1);
			}
		},
		learn(levels, engine, now) {
			for (const level of levels) {
				learnOne(open(level.hash), engine, now);
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
