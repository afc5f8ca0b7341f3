/**
 * What requests and answers have taught about prefixes: how large a share of
 * the requests has each, and which few endpoints served it. The number of
 * prefixes is bounded, the least recently used forgotten first. It corrects the
 * computed homes; it is no index of what is cached.
 */
import {LRUCache} from 'lru-cache';
import {type EngineRecord} from './engine-record.js';
import {type PrefixLevel} from './prefix-levels.js';

/** An endpoint that served a prefix. */
export type WarmHome = {
	engine: EngineRecord;
	/** Generation of the engine's cache at the time; another one has lost it. */
	generation: number;
	/** When the prefix was last used there, on the monotonic clock. */
	usedAt: number;
};

/** A prefix that is remembered. */
export type KnownPrefix = {
	homes: WarmHome[];
	/** Requests with the prefix, older ones counting less. */
	readonly requests: FadingCount;
	/** Requests of its service that had come before the first one with the prefix. */
	readonly before: FadingCount;
};

/** A count whose older part fades by halves. */
export type FadingCount = {value: number; at: number};

/** Time in which a fading count loses half its value, in milliseconds. */
const halfLifeMs = 20_000;

/** The value now. */
export const fadedValue = (count: FadingCount, now: number): number =>
	count.value * (2 ** ((count.at - now) / halfLifeMs));

/** Adds to the value. */
export const addFading = (count: FadingCount, now: number, amount: number): void => {
	count.value = fadedValue(count, now) + amount;
	count.at = now;
};

/** The bounded memory. */
export type PrefixMemory = {
	/** What is known of a prefix, endpoints with a lost cache left out. */
	look: (piece: bigint) => KnownPrefix | undefined;
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

const dropLost = (known: KnownPrefix): void => {
	for (const home of known.homes) {
		if (home.generation !== home.engine.generation) {
			known.homes = known.homes.filter(other => other.generation === other.engine.generation);
			return;
		}
	}
};

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
			known = {homes: [], requests: {value: 0, at: 0}, before: {value: 0, at: 0}};
			prefixes.set(piece, known);
		}

		return known;
	};

	const learnOne = ({homes}: KnownPrefix, engine: EngineRecord, now: number): void => {
		let oldest: WarmHome | undefined;
		for (const home of homes) {
			if (home.engine === engine) {
				home.generation = engine.generation;
				home.usedAt = now;
				return;
			}

			if (oldest === undefined || home.usedAt < oldest.usedAt) {
				oldest = home;
			}
		}

		const home = {engine, generation: engine.generation, usedAt: now};
		if (oldest !== undefined && homes.length >= homesEach) {
			homes[homes.indexOf(oldest)] = home;
			return;
		}

		homes.push(home);
	};

	return {
		look(piece) {
			const known = prefixes.get(piece);
			if (known !== undefined) {
				dropLost(known);
			}

			return known;
		},
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
				const known = prefixes.peek(piece);
				if (known !== undefined) {
					known.homes = known.homes.filter(home => home.engine !== engine);
				}
			}
		},
		size: () => prefixes.size,
		entries: () => prefixes.entries() as IterableIterator<[bigint, KnownPrefix]>,
	};
};
