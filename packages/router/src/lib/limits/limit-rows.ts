/** Reads and writes the limits' rows in the table. */
import {z} from 'zod';
import {type TableClient, type TableRow, type TableWrite} from '../platform/platform.js';
import {LimitsRowError, LimitsTableError} from './limits-errors.js';

const shardPrefix = 'limits/shard/';
const holderPrefix = 'limits/holder/';
const shardDigits = 6;
const pageRows = 1000;

const shardSchema = z.object({
	/** Grows with each change of issuer. */
	generation: z.number().int(),
	/** Daemon that issues the shard's shares; empty after a graceful stop. */
	issuer: z.string(),
	/** Incarnation of the issuing process, in decimal. */
	incarnation: z.string(),
	/** Grows with each renewal of the issuer's lease. */
	renewal: z.number().int(),
	/** Workspaces of the shard that ever had tokens: they never start with a full burst again. */
	started: z.array(z.string()),
	/** Tokens that a stopping issuer left in its reserve, by workspace. */
	left: z.record(z.string(), z.number()).default({}),
});

/** Row of a shard: its issuer and lease. */
export type ShardRow = z.infer<typeof shardSchema>;

const holderSchema = z.object({
	/** Incarnation of the process that last wrote the row, in decimal. */
	incarnation: z.string(),
	/** Newest version of the VM list in which that process saw its own VM; 0 if none. */
	listedIn: z.number().int(),
});

/** Row of a daemon that may hold shares. A new issuer calls on all of them to report. */
export type HolderRow = z.infer<typeof holderSchema>;

/** A parsed row with the version that the table gave it. */
export type Versioned<Row> = {row: Row; version: number};

/** Access to the limits' rows. Every method throws {@link LimitsTableError}, or {@link LimitsRowError} for a row in an unsupported layout. */
export type LimitRows = {
	listShards: () => Promise<Map<number, Versioned<ShardRow>>>;
	listHolders: () => Promise<Map<string, HolderRow>>;
	writeHolder: (name: string, row: HolderRow) => Promise<void>;
	/** Writes the rows whose version still matches; returns each shard's row afterwards. */
	writeShards: (writes: ShardWrite[]) => Promise<Map<number, Versioned<ShardRow>>>;
};

/** A conditional write of one shard's row. */
export type ShardWrite = {
	shard: number;
	row: ShardRow;
	/** Version that the row must have; 0 if it must be absent. */
	ifVersion: number;
};

const keyOf = (shard: number) => shardPrefix + String(shard).padStart(shardDigits, '0');

/** Maximum number of writes in one transaction of the table. */
export const writesPerTransaction = 25;

/** Creates the reader and writer over a table. */
export function createLimitRows(table: TableClient): LimitRows {
	async function listAll(prefix: string): Promise<TableRow[]> {
		const rows: TableRow[] = [];
		let after: string | undefined;
		for (;;) {
			const page = await table.list(after === undefined ? {prefix} : {prefix, after});
			rows.push(...page);
			after = page.at(-1)?.key;
			if (page.length < pageRows) {
				return rows;
			}
		}
	}

	async function readShard(shard: number): Promise<Versioned<ShardRow> | undefined> {
		const row = await table.get(keyOf(shard));
		return row && {row: parseRow(shardSchema, row), version: row.version};
	}

	async function commit(writes: ShardWrite[], done: Map<number, Versioned<ShardRow>>): Promise<void> {
		const result = await table.transact(writes.map((write): TableWrite => ({
			key: keyOf(write.shard),
			value: JSON.stringify(write.row),
			ifVersion: write.ifVersion,
		})));
		if (result.committed) {
			for (const write of writes) {
				done.set(write.shard, {row: write.row, version: result.versions[keyOf(write.shard)]});
			}

			return;
		}

		const conflicting = new Set(result.conflicts.map(conflict => conflict.key));
		const clean = writes.filter(write => !conflicting.has(keyOf(write.shard)));
		if (clean.length > 0 && clean.length < writes.length) {
			await commit(clean, done);
		}
	}

	return {
		listShards: async () => guarded('listing the shards', async () => {
			const shards = new Map<number, Versioned<ShardRow>>();
			for (const row of await listAll(shardPrefix)) {
				const shard = Number(row.key.slice(shardPrefix.length));
				shards.set(shard, {row: parseRow(shardSchema, row), version: row.version});
			}

			return shards;
		}),
		listHolders: async () => guarded('listing the holders', async () => {
			const holders = new Map<string, HolderRow>();
			for (const row of await listAll(holderPrefix)) {
				holders.set(row.key.slice(holderPrefix.length), parseRow(holderSchema, row));
			}

			return holders;
		}),
		writeHolder: async (name, row) => guarded('writing the holder row', async () => {
			await table.transact([{key: holderPrefix + name, value: JSON.stringify(row)}]);
		}),
		writeShards: async writes => guarded('writing shard rows', async () => {
			const done = new Map<number, Versioned<ShardRow>>();
			try {
				await commit(writes, done);
			} catch {
				// The write may have taken effect although its answer was lost: the rows are read below.
			}

			for (const write of writes) {
				if (!done.has(write.shard)) {
					const now = await readShard(write.shard);
					if (now) {
						done.set(write.shard, now);
					}
				}
			}

			return done;
		}),
	};
}

function parseRow<Schema extends z.ZodType>(schema: Schema, row: TableRow): z.infer<Schema> {
	try {
		return schema.parse(JSON.parse(row.value));
	} catch (error) {
		throw new LimitsRowError(`Row ${row.key} has a layout that this build does not support. Upgrade the daemon.`, {cause: error});
	}
}

async function guarded<Result>(what: string, run: () => Promise<Result>): Promise<Result> {
	try {
		return await run();
	} catch (error) {
		if (error instanceof LimitsRowError) {
			throw error;
		}

		throw new LimitsTableError(`The table failed while ${what}. The operation is retried.`, {cause: error});
	}
}
