/** A table in memory that daemons share: answers take time, get lost or come late, and the table may be down or come back from a copy. */
import {type TableClient, type TableRow} from 'hickorywalk/platform.js';

/** One daemon's access. */
export type TableAccess = {
	table: TableClient;
	/** The table's clock as the daemon knows it. */
	tableMs: () => number | undefined;
	/** Calls get no answer from now on; those with `isApplied` still take effect, up to some seconds later. */
	cut: (how: 'open' | 'cut' | 'isApplied') => void;
};

/** The table. */
export type SharedTable = {
	access: () => TableAccess;
	setDown: (isDown: boolean) => void;
	copy: () => ReadonlyMap<string, TableRow>;
	restore: (copy: ReadonlyMap<string, TableRow>) => void;
};

const timeoutMs = 800;
const maxLateMs = 4000;

const pause = async (ms: number): Promise<void> => {
	await new Promise<void>(resolve => {
		setTimeout(resolve, ms);
	});
};

/** Creates an empty table; `random` returns numbers in [0, 1). */
export function createSharedTable(random: () => number): SharedTable {
	let rows = new Map<string, TableRow>();
	let version = 0;
	let generation = 1;
	let isDown = false;
	const delayMs = (): number => 1 + (random() * 20);

	const transact: TableClient['transact'] = async writes => {
		const conflicts = writes.filter(({key, ifVersion}) => ifVersion !== undefined && (rows.get(key)?.version ?? 0) !== ifVersion);
		if (conflicts.length > 0) {
			return {committed: false, conflicts: conflicts.map(({key}) => ({key, version: rows.get(key)?.version ?? 0}))};
		}

		version++;
		for (const {key, value} of writes) {
			if (value === null) {
				rows.delete(key);
			} else {
				rows.set(key, {key, value, version});
			}
		}

		return {committed: true, versions: Object.fromEntries(writes.map(({key}) => [key, version]))};
	};

	const access = (): TableAccess => {
		let state: 'open' | 'cut' | 'isApplied' = 'open';
		let clock: {tableMs: number; at: number} | undefined;
		let knownGeneration = 0;

		const answered = (stampedAt: number, inGeneration: number): void => {
			if (inGeneration > knownGeneration || clock === undefined || stampedAt > clock.tableMs + performance.now() - clock.at) {
				clock = {tableMs: stampedAt, at: performance.now()};
			}

			knownGeneration = Math.max(knownGeneration, inGeneration);
		};

		const exchange = async <Result>(act: () => Promise<Result>, isWrite: boolean): Promise<Result> => {
			const sentIn = generation;
			await pause(delayMs());
			if (isDown || state !== 'open') {
				if (isWrite && state === 'isApplied') {
					setTimeout(() => {
						if (generation === sentIn) {
							void act();
						}
					}, random() * maxLateMs);
				}

				await pause(timeoutMs);
				throw new Error('The table does not answer.');
			}

			const result = await act();
			const [stampedAt, inGeneration] = [performance.now(), generation];
			await pause(delayMs());
			answered(stampedAt, inGeneration);
			return result;
		};

		return {
			table: {
				generation: () => knownGeneration,
				get: async key => exchange(async () => rows.get(key), false),
				list: async ({prefix}) => exchange(async () => [...rows.values()].filter(({key}) => key.startsWith(prefix)), false),
				async transact(writes) {
					const sentIn = knownGeneration;
					return exchange(async () => sentIn === generation ? transact(writes) : {committed: false, conflicts: []}, true);
				},
			},
			tableMs: () => clock === undefined ? undefined : clock.tableMs + performance.now() - clock.at,
			cut(how) {
				state = how;
			},
		};
	};

	return {
		access,
		setDown(next) {
			isDown = next;
		},
		copy: () => new Map(rows),
		restore(copy) {
			rows = new Map(copy);
			generation++;
		},
	};
}
