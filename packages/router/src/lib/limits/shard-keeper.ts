/**
 * Keeps the shards' rows in the table: finds out who issues which shard, takes
 * shards that nobody issues, renews the leases of its own.
 *
 * A lease counts from before the write that renewed it was sent, and a watcher
 * counts it from after it read the row, each by its own monotonic clock: the
 * issuer stops before anyone else may begin.
 */
import {type LimiterSettings} from './limiter-settings.js';
import {
	type LimitRows, type ShardRow, type ShardWrite, type Versioned, writesPerTransaction,
} from './limit-rows.js';
import {type LivenessEvidence} from './liveness-evidence.js';
import {type HashedName, rankOf} from './shard-map.js';

/** One shard's row as last read, and since when it has stood unchanged. */
export type WatchedShard = Versioned<ShardRow> & {unchangedSince: number};

/** What {@link createShardKeeper} needs. */
export type ShardKeeperOptions = {
	name: string;
	incarnation: bigint;
	settings: LimiterSettings;
	rows: LimitRows;
	evidence: LivenessEvidence;
	/** Every daemon that could issue, this one included. */
	candidates: () => HashedName[];
	/** Workspaces by shard, as configured. */
	workspacesOf: () => Map<number, string[]>;
	/** Newest generation of a shard that peers named. */
	generationOf: (shard: number) => number;
	/** Shards that this process issues. */
	isIssuing: (shard: number) => boolean;
};

/** A shard that this process has just taken. */
export type TakenShard = {
	shard: number;
	generation: number;
	leaseEnd: number;
	/** Row before the change of issuer. */
	before: ShardRow | undefined;
};

/** The keeper. Methods that write throw `LimitsTableError`. */
export type ShardKeeper = {
	watched: (shard: number) => WatchedShard | undefined;
	/** Reads all rows anew. */
	refresh: () => Promise<void>;
	/** Takes vacant shards whose turn it is for this daemon. */
	takeVacant: () => Promise<TakenShard[]>;
	/** Renews the leases of these shards; returns those that stand with their new end. */
	renew: (shards: number[]) => Promise<Map<number, number>>;
	/** Whether a row names this process as the issuer. */
	isOurs: (row: ShardRow) => boolean;
	/** Gives shards up, with the tokens left in their reserves. */
	release: (left: Map<number, Map<string, number>>) => Promise<void>;
};

/** Milliseconds for which each daemon gives way to those that rank before it. */
const stepAsideMs = 1000;
const mostSteps = 5;

/** Creates the keeper; it does nothing on its own. */
export function createShardKeeper(options: ShardKeeperOptions): ShardKeeper {
	const {name, incarnation, settings, rows, evidence} = options;
	const watchedShards = new Map<number, WatchedShard>();
	const vacantSince = new Map<number, number>();
	// Never used twice, so that a row tells which attempt wrote it.
	let attempt = 0;

	const isOurs = (row: ShardRow) => row.issuer === name && row.incarnation === String(incarnation);

	function watch(shard: number, found: Versioned<ShardRow>): void {
		const known = watchedShards.get(shard);
		if (known && known.version >= found.version) {
			return;
		}

		watchedShards.set(shard, {...found, unchangedSince: performance.now()});
	}

	function isVacant(shard: number): boolean {
		const known = watchedShards.get(shard);
		if (options.generationOf(shard) > (known?.row.generation ?? 0)) {
			// Somebody took it since the last reading, which says nothing any more.
			return false;
		}

		if (!known || known.row.issuer === '') {
			return true;
		}

		if (isOurs(known.row)) {
			// A write of ours took effect after it was given up.
			return !options.isIssuing(shard);
		}

		return evidence.hasEnded(known.row.issuer, BigInt(known.row.incarnation))
			|| performance.now() >= known.unchangedSince + settings.leaseMs + settings.marginMs;
	}

	function isOurTurn(shard: number, candidates: HashedName[]): boolean {
		const now = performance.now();
		const since = vacantSince.get(shard) ?? now;
		vacantSince.set(shard, since);
		if (watchedShards.get(shard)?.row.issuer === name) {
			// An earlier process of this daemon issued it: nobody has better evidence of its end.
			return true;
		}

		const rank = rankOf(shard, name, candidates);
		return now >= since + (Math.min(rank, mostSteps) * stepAsideMs);
	}

	async function writeAll(writes: ShardWrite[]): Promise<ShardWrite[]> {
		const standing: ShardWrite[] = [];
		for (let start = 0; start < writes.length; start += writesPerTransaction) {
			const batch = writes.slice(start, start + writesPerTransaction);
			const found = await rows.writeShards(batch);
			for (const write of batch) {
				const now = found.get(write.shard);
				if (now) {
					watch(write.shard, now);
				}

				if (now && isOurs(now.row) && now.row.renewal === write.row.renewal) {
					standing.push(write);
				}
			}
		}

		return standing;
	}

	return {
		watched: shard => watchedShards.get(shard),
		isOurs,
		async refresh() {
			for (const [shard, found] of await rows.listShards()) {
				watch(shard, found);
			}
		},
		async takeVacant() {
			const writes: ShardWrite[] = [];
			const before = new Map<number, ShardRow | undefined>();
			const candidates = options.candidates();
			for (const [shard, workspaces] of options.workspacesOf()) {
				if (!isVacant(shard)) {
					vacantSince.delete(shard);
					continue;
				}

				if (!isOurTurn(shard, candidates)) {
					continue;
				}

				const known = watchedShards.get(shard);
				before.set(shard, known?.row);
				attempt += 1;
				writes.push({
					shard,
					ifVersion: known?.version ?? 0,
					row: {
						generation: (known?.row.generation ?? 0) + 1,
						issuer: name,
						incarnation: String(incarnation),
						renewal: attempt,
						started: [...new Set([...known?.row.started ?? [], ...workspaces])],
						left: {},
					},
				});
			}

			const leaseEnd = performance.now() + settings.leaseMs - settings.marginMs;
			const standing = await writeAll(writes);
			return standing.map(({shard, row}) => ({
				shard, generation: row.generation, leaseEnd, before: before.get(shard),
			}));
		},
		async renew(shards) {
			const writes: ShardWrite[] = [];
			const workspaces = options.workspacesOf();
			for (const shard of shards) {
				const known = watchedShards.get(shard);
				if (!known || !isOurs(known.row)) {
					continue;
				}

				attempt += 1;
				const started = [...new Set([...known.row.started, ...workspaces.get(shard) ?? []])];
				writes.push({shard, ifVersion: known.version, row: {...known.row, renewal: attempt, started}});
			}

			const leaseEnd = performance.now() + settings.leaseMs - settings.marginMs;
			const standing = await writeAll(writes);
			return new Map(standing.map(write => [write.shard, leaseEnd]));
		},
		async release(left) {
			const writes: ShardWrite[] = [];
			for (const [shard, tokens] of left) {
				const known = watchedShards.get(shard);
				if (known && isOurs(known.row)) {
					attempt += 1;
					writes.push({
						shard,
						ifVersion: known.version,
						row: {
							...known.row, issuer: '', renewal: attempt, left: Object.fromEntries(tokens),
						},
					});
				}
			}

			await writeAll(writes);
		},
	};
}
