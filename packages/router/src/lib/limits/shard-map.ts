/** Which shard a workspace belongs to, and which daemon should issue its shares. */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** The shard of a workspace; the same on every daemon. */
export function shardOf(workspace: string, shards: number): number {
	return h32(workspace) % shards;
}

/** Daemons in the order in which they should take a shard (rendezvous hashing). */
export function rankDaemons(shard: number, names: Iterable<string>): string[] {
	const scored: Array<{name: string; score: number}> = [];
	for (const name of names) {
		scored.push({name, score: h32(`${shard}/${name}`)});
	}

	scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
	return scored.map(entry => entry.name);
}
