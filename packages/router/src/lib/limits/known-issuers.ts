/** The issuer of each shard as far as this daemon knows. */
import {type KnownIssuer} from './wish-sender.js';

/** Known issuers by shard. */
export type KnownIssuers = {
	of: (shard: number) => KnownIssuer | undefined;
	/** Records an issuer if its generation is the highest so far; returns whether it did. */
	adopt: (shard: number, found: KnownIssuer) => boolean;
	/** Whether each of these shards has a known issuer. */
	hasAll: (shards: Iterable<number>) => boolean;
	/** Names of the known issuers of these shards. */
	names: (shards: Iterable<number>) => Set<string>;
};

/** Creates a record without issuers. */
export function createKnownIssuers(): KnownIssuers {
	const known = new Map<number, KnownIssuer>();

	return {
		of: shard => known.get(shard),
		adopt(shard, found) {
			const before = known.get(shard);
			if (found.issuer === '' || (before && before.generation >= found.generation)) {
				return false;
			}

			known.set(shard, found);
			return true;
		},
		hasAll(shards) {
			for (const shard of shards) {
				if (!known.has(shard)) {
					return false;
				}
			}

			return true;
		},
		names(shards) {
			const names = new Set<string>();
			for (const shard of shards) {
				names.add(known.get(shard)?.issuer ?? '');
			}

			names.delete('');
			return names;
		},
	};
}
