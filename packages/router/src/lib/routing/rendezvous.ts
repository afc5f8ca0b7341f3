/**
 * The arithmetic of rendezvous hashing: each endpoint has a rank for each
 * prefix, from the prefix's hash and the endpoint's name alone, and the lowest
 * rank is the prefix's home.
 */
/* eslint no-bitwise: off -- hashing is arithmetic on bits */

/** The finaliser of MurmurHash3: every input bit reaches every output bit. A signed 32-bit result stays unboxed. */
const mix = (value: number): number => {
	let mixed = Math.imul(value ^ (value >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return mixed ^ (mixed >>> 16);
};

/** Seed of a name: FNV-1a with a final mix, equal on every router. */
export const seedOfName = (name: string): number => {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < name.length; index++) {
		hash = Math.imul(hash ^ name.codePointAt(index)!, 0x01_00_01_93);
	}

	return mix(hash);
};

/** The two halves of a prefix's hash, taken apart once for many ranks. */
export type HashHalves = {low: number; high: number};

/** Takes a 64-bit hash apart. */
export const halvesOf = (hash: bigint): HashHalves => ({
	low: Number(BigInt.asIntN(32, hash)),
	high: Number(BigInt.asIntN(32, hash >> 32n)),
});

/** Rank of an endpoint for a prefix. One mix of each half is enough: seeds are mixed already. */
export const rankOf = (halves: HashHalves, seed: number): number =>
	mix(Math.imul(halves.low ^ seed, 0x9E_37_79_B1) ^ halves.high);

const ranks = 2 ** 32;

/** The rank as a number between 0 and 1, both excluded; the home is where it is highest. */
export const uniformRankOf = (halves: HashHalves, seed: number): number =>
	((ranks / 2) - rankOf(halves, seed) - 0.5) / ranks;

const orderedByRank = (halves: HashHalves, names: readonly string[]): string[] => {
	const ranked = names.map(name => ({name, rank: rankOf(halves, seedOfName(name))}));
	ranked.sort((a, b) => a.rank - b.rank || (a.name < b.name ? -1 : 1));
	return ranked.map(({name}) => name);
};

/** Names in the order of their ranks for a hash, the home first. */
export const homesByHash = (hash: bigint, names: readonly string[]): string[] => orderedByRank(halvesOf(hash), names);

const halvesOfKey = (key: string): HashHalves => ({low: seedOfName(key), high: 0});

/** How many of the other names come before this one in the order that a key gives them; the same on every router. */
export const placeOf = (key: string, name: string, names: readonly string[]): number => {
	const halves = halvesOfKey(key);
	const own = rankOf(halves, seedOfName(name));
	let place = 0;
	for (const other of names) {
		const rank = rankOf(halves, seedOfName(other));
		place += rank < own || (rank === own && other < name) ? 1 : 0;
	}

	return place;
};

/** Names in the order that a key gives them, as `placeOf` counts it; the same on every router. */
export const orderedBy = (key: string, names: readonly string[]): string[] => orderedByRank(halvesOfKey(key), names);
