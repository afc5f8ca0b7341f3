/**
 * Leases on shards, stored as rows in the table: reads which daemon issues which
 * shard, takes vacant shards, renews and releases the leases of this process.
 *
 * The issuer counts its lease from before the write that renewed it was sent; a
 * watcher counts it from after it read the row. Each uses its own monotonic
 * clock, so the issuer stops before any other daemon may begin.
 */
import {type LimiterSettings} from './limiter-settings.js';
import {
	type LimitRows, type ShardRow, type ShardWrite, type Versioned, writesPerTransaction,
} from './limit-rows.js';
import {type LivenessEvidence} from './liveness-evidence.js';
import {type HashedName, rankOf} from './shard-map.js';

/** Last known row of a shard, and since when it has been unchanged. */
export type WatchedShard = Versioned<ShardRow> & {unchangedSince: number};

/** Options of {@link createShardLeases}. */
export type ShardLeasesOptions = {
	name: string;
	incarnation: bigint;
	settings: LimiterSettings;
	rows: LimitRows;
	evidence: LivenessEvidence;
	/** All daemons that may issue shards, including this one. */
	candidates: () => HashedName[];
	/** Configured workspaces by shard. */
	workspacesOf: () => Map<number, string[]>;
	/** Newest generation of a shard known from peers or the table; 0 if none. */
	generationOf: (shard: number) => number;
	/** Whether this process issues the shard. */
	isIssuing: (shard: number) => boolean;
};

/** A shard that this process has just taken over. */
export type TakenShard = {
	shard: number;
	generation: number;
	leaseEnd: number;
	/** Row before the takeover. */
	before: ShardRow | undefined;
};

/** Shard leases. Methods that read or write the table throw `LimitsTableError`. */
export type ShardLeases = {
	watched: (shard: number) => WatchedShard | undefined;
	/** Reads all rows again. */
	refresh: () => Promise<void>;
	/** Takes the vacant shards for which it is this daemon's turn. */
	takeVacant: () => Promise<TakenShard[]>;
	/** Renews the leases of these shards; returns the new end of each lease that was renewed. */
	renew: (shards: number[]) => Promise<Map<number, number>>;
	/** Whether a row names this process as the issuer. */
	isOurs: (row: ShardRow) => boolean;
	/** Releases shards; `left` has the tokens left in the reserves by shard and workspace. */
	release: (left: Map<number, Map<string, number>>) => Promise<void>;
};

/** Milliseconds that a daemon waits before a takeover for each daemon ranked before it. */
const takeoverStepMs = 1000;
const maxTakeoverSteps = 5;

/** Creates the leases; nothing runs until a method is called. */
export function createShardLeases(options: ShardLeasesOptions): ShardLeases {
	const {name, incarnation, settings, rows, evidence} = options;
	const watchedShards = new Map<number, WatchedShard>();
	const vacantSince = new Map<number, number>();
	// Never reused, so that a row identifies the attempt that wrote it.
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
			// Another daemon took it since the last read, so the row read is out of date.
			return false;
		}

		if (!known || known.row.issuer === '') {
			return true;
		}

		if (isOurs(known.row)) {
			// A write of this process took effect after it had been treated as failed.
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
			// An earlier process of this daemon issued it, and this daemon knows best that it has ended.
			return true;
		}

		const rank = rankOf(shard, name, candidates);
		return now >= since + (Math.min(rank, maxTakeoverSteps) * takeoverStepMs);
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
