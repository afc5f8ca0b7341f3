/** Maps workspaces to shards, and ranks the daemons that may issue a shard. */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** The shard of a workspace; the same on every daemon. */
export function shardOf(workspace: string, shards: number): number {
	return h32(workspace) % shards;
}

/** A daemon's name with its hash, computed once for all shards. */
export type HashedName = {name: string; hash: number};

const scorePrime = 4_294_967_291;
const firstFactor = 40_503;

/** Hashes names for {@link rankDaemons} and {@link rankOf}. */
export function hashNames(names: Iterable<string>): HashedName[] {
	const hashed: HashedName[] = [];
	for (const name of names) {
		hashed.push({name, hash: h32(name)});
	}

	return hashed;
}

/** Rendezvous hashing score. The product stays below 2 ** 53, so it is exact. */
function scoreOf(shard: number, {hash}: HashedName): number {
	return (hash * (firstFactor + (2 * shard))) % scorePrime;
}

function isBefore(shard: number, a: HashedName, b: HashedName): boolean {
	const difference = scoreOf(shard, a) - scoreOf(shard, b);
	return difference > 0 || (difference === 0 && a.name < b.name);
}

/** Number of daemons that precede this one in the order of takeover of a shard. */
export function rankOf(shard: number, name: string, daemons: readonly HashedName[]): number {
	const own = {name, hash: h32(name)};
	let rank = 0;
	for (const other of daemons) {
		rank += isBefore(shard, other, own) ? 1 : 0;
	}

	return rank;
}

/** Daemons in the order in which they should take over a shard. */
export function rankDaemons(shard: number, daemons: readonly HashedName[]): string[] {
	return daemons.toSorted((a, b) => isBefore(shard, a, b) ? -1 : 1).map(daemon => daemon.name);
}
