/** An in-memory table that counts reads and written rows. */
import {type TableClient, type TableRow} from 'hickorywalk/platform.js';

const mostRows = 1000;

export function createCountingTable(): TableClient & {writes: number; reads: number} {
	const rows = new Map<string, TableRow>();
	const versionOf = (key: string) => rows.get(key)?.version ?? 0;
	const table: TableClient & {writes: number; reads: number} = {
		writes: 0,
		reads: 0,
		async get(key) {
			table.reads += 1;
			return rows.get(key);
		},
		async list({prefix, after = '', limit = mostRows}) {
			table.reads += 1;
			const found = [...rows.values()].filter(row => row.key.startsWith(prefix) && row.key > after);
			return found.toSorted((a, b) => (a.key < b.key ? -1 : 1)).slice(0, limit);
		},
		async transact(writes) {
			table.writes += writes.length;
			const conflicts: Array<{key: string; version: number}> = [];
			for (const {key, ifVersion} of writes) {
				if (ifVersion !== undefined && ifVersion !== versionOf(key)) {
					conflicts.push({key, version: versionOf(key)});
				}
			}

			if (conflicts.length > 0) {
				return {committed: false, conflicts};
			}

			const versions: Record<string, number> = {};
			for (const {key, value} of writes) {
				versions[key] = versionOf(key) + 1;
				rows.set(key, {key, value: value ?? '', version: versions[key]});
			}

			return {committed: true, versions};
		},
	};
	return table;
}
