/**
 * Rendezvous hashing: each endpoint has a rank for each prefix, computed from the
 * prefix's hash and the endpoint's name alone, and the endpoint with the lowest
 * rank is the prefix's home.
 */
/* eslint no-bitwise: off -- hashing needs bit operations */

/** The finaliser of MurmurHash3: every input bit affects every output bit. V8 keeps a signed 32-bit result unboxed. */
const mix = (value: number): number => {
	let mixed = Math.imul(value ^ (value >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return mixed ^ (mixed >>> 16);
};

/** Seed of a name: FNV-1a with a final mix, the same on every router. */
export const seedOfName = (name: string): number => {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < name.length; index++) {
		hash = Math.imul(hash ^ name.codePointAt(index)!, 0x01_00_01_93);
	}

	return mix(hash);
};

/** The two 32-bit halves of a prefix's hash, split once for many ranks. */
export type HashHalves = {low: number; high: number};

/** Splits a 64-bit hash. */
export const halvesOf = (hash: bigint): HashHalves => ({
	low: Number(BigInt.asIntN(32, hash)),
	high: Number(BigInt.asIntN(32, hash >> 32n)),
});

/** Rank of an endpoint for a prefix. One mix of both halves is enough, because seeds are already mixed. */
export const rankOf = (halves: HashHalves, seed: number): number =>
	mix(Math.imul(halves.low ^ seed, 0x9E_37_79_B1) ^ halves.high);

const ranks = 2 ** 32;

/** The rank as a number between 0 and 1, both excluded; the home has the highest. */
export const uniformRankOf = (halves: HashHalves, seed: number): number =>
	((ranks / 2) - rankOf(halves, seed) - 0.5) / ranks;

const orderedByRank = (halves: HashHalves, names: readonly string[]): string[] => {
	const ranked = names.map(name => ({name, rank: rankOf(halves, seedOfName(name))}));
	ranked.sort((a, b) => a.rank - b.rank || (a.name < b.name ? -1 : 1));
	return ranked.map(({name}) => name);
};

/** Orders names by their ranks for a hash, the home first. */
export const homesByHash = (hash: bigint, names: readonly string[]): string[] => orderedByRank(halvesOf(hash), names);

const halvesOfKey = (key: string): HashHalves => ({low: seedOfName(key), high: 0});

/** Position of a name in the order for a key, counted from 0; the same on every router. */
export const positionOf = (key: string, name: string, names: readonly string[]): number => {
	const halves = halvesOfKey(key);
	const own = rankOf(halves, seedOfName(name));
	let place = 0;
	for (const other of names) {
		const rank = rankOf(halves, seedOfName(other));
		place += rank < own || (rank === own && other < name) ? 1 : 0;
	}

	return place;
};

/** Orders names for a key, consistently with {@link positionOf}; the same on every router. */
export const orderedBy = (key: string, names: readonly string[]): string[] => orderedByRank(halvesOfKey(key), names);
