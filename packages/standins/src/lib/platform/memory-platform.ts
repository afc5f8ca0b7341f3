/**
 * In-memory implementation of the platform's services. The HTTP stand-in serves
 * it, and tests that need no HTTP use it directly.
 */
import {
	type ObjectClient, type Platform, type TableClient, type TableRow, type VmEntry, type WeightInfo,
} from 'hickorywalk/platform.js';

/** Numbers of calls to the platform. */
export type PlatformUse = {
	tableReads: number;
	tableWrites: number;
	objectReads: number;
	objectWrites: number;
};

/** An in-memory platform, with functions to set up and inspect it in tests. */
export type MemoryPlatform = Platform & {
	/** Replaces the VM list and increments its version. */
	setVms: (vms: VmEntry[]) => void;
	/** Replaces the contents of the weight store. */
	setWeights: (weights: WeightInfo[]) => void;
	/** Call counts since the platform was created. */
	use: PlatformUse;
};

const maxRows = 1000;

/** Creates an empty platform. */
export function createMemoryPlatform(): MemoryPlatform {
	const use: PlatformUse = {
		tableReads: 0, tableWrites: 0, objectReads: 0, objectWrites: 0,
	};
	let vmList = {version: 1, vms: [] as VmEntry[]};
	let weights: WeightInfo[] = [];
	return {
		table: createMemoryTable(use),
		objects: createMemoryObjects(use),
		weights: {
			async list() {
				return structuredClone(weights);
			},
		},
		vms: {
			async read() {
				return structuredClone(vmList);
			},
		},
		setVms(vms) {
			vmList = {version: vmList.version + 1, vms: structuredClone(vms)};
		},
		setWeights(next) {
			weights = structuredClone(next);
		},
		use,
	};
}

function createMemoryTable(use: PlatformUse): TableClient {
	const rows = new Map<string, TableRow>();
	let lastVersion = 0;
	const versionOf = (key: string) => rows.get(key)?.version ?? 0;

	return {
		async get(key) {
			use.tableReads++;
			const row = rows.get(key);
			return row === undefined ? undefined : {...row};
		},
		async list({prefix, after, limit}) {
			use.tableReads++;
			return [...rows.values()]
				.filter(row => row.key.startsWith(prefix) && (after === undefined || row.key > after))
				.toSorted((a, b) => (a.key < b.key ? -1 : 1))
				.slice(0, Math.min(limit ?? maxRows, maxRows))
				.map(row => ({...row}));
		},
		async transact(writes) {
			use.tableWrites += writes.length;
			const conflicts = writes
				.filter(write => write.ifVersion !== undefined && write.ifVersion !== versionOf(write.key))
				.map(write => ({key: write.key, version: versionOf(write.key)}));
			if (conflicts.length > 0) {
				return {committed: false, conflicts};
			}

			const versions: Record<string, number> = {};
			for (const {key, value} of writes) {
				lastVersion++;
				versions[key] = lastVersion;
				if (value === null) {
					rows.delete(key);
				} else {
					rows.set(key, {key, value, version: lastVersion});
				}
			}

			return {committed: true, versions};
		},
	};
}

function createMemoryObjects(use: PlatformUse): ObjectClient {
	const objects = new Map<string, Uint8Array>();
	return {
		async put(name, content, options) {
			use.objectWrites++;
			if (options?.ifAbsent && objects.has(name)) {
				return false;
			}

			objects.set(name, Uint8Array.from(content));
			return true;
		},
		async get(name) {
			use.objectReads++;
			const content = objects.get(name);
			return content === undefined ? undefined : Uint8Array.from(content);
		},
		async list(prefix) {
			use.objectReads++;
			return [...objects.keys()].filter(name => name.startsWith(prefix)).toSorted();
		},
		async remove(name) {
			use.objectWrites++;
			objects.delete(name);
		},
	};
}
