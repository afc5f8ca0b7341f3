/** The table service in memory, for measuring. */
import {type TableClient, type TableRow} from 'hickorywalk/platform.js';

/** A table that counts its calls. */
export type MemoryTable = TableClient & {
	calls: {reads: number; writes: number};
};

export function createMemoryTable(): MemoryTable {
	const rows = new Map<string, TableRow>();
	const calls = {reads: 0, writes: 0};
	return {
		calls,
		async get(key) {
			calls.reads++;
			return rows.get(key);
		},
		async list({prefix, after = '', limit = 1000}) {
			calls.reads++;
			const found = [...rows.values()].filter(row => row.key.startsWith(prefix) && row.key > after);
			return found.toSorted((a, b) => a.key < b.key ? -1 : 1).slice(0, limit);
		},
		async transact(writes) {
			calls.writes++;
			const conflicts = writes.filter(({key, ifVersion}) => ifVersion !== undefined && ifVersion !== (rows.get(key)?.version ?? 0));
			if (conflicts.length > 0) {
				return {committed: false, conflicts: conflicts.map(({key}) => ({key, version: rows.get(key)?.version ?? 0}))};
			}

			const versions: Record<string, number> = {};
			for (const {key, value} of writes) {
				versions[key] = (rows.get(key)?.version ?? 0) + 1;
				if (value === null) {
					rows.delete(key);
				} else {
					rows.set(key, {key, value, version: versions[key]});
				}
			}

			return {committed: true, versions};
		},
	};
}
