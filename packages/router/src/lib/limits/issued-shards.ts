/** The shards that this process issues, and what the configuration asks of them. */
import {type PeerOrigin} from '../links/peer-link.js';
import {type ShareRequest} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type LimitRows} from './limit-rows.js';
import {type LimiterSettings, type WorkspaceLimit} from './limiter-settings.js';
import {type LivenessEvidence} from './liveness-evidence.js';
import {type Outbox} from './outbox.js';
import {createShardIssuer, type ShardIssuer} from './shard-issuer.js';
import {type ShardKeeper, type TakenShard} from './shard-keeper.js';
import {shardOf} from './shard-map.js';

/** What {@link createIssuedShards} needs. */
export type IssuedShardsOptions = {
	name: string;
	settings: LimiterSettings;
	evidence: LivenessEvidence;
	outbox: Outbox;
	rows: LimitRows;
	/** Runs what a timer called for. */
	run: (callback: () => void) => void;
	/** Configured limits by workspace. */
	limits: () => ReadonlyMap<string, WorkspaceLimit>;
};

/** The collection. Methods that read or write the table throw `LimitsTableError`. */
export type IssuedShards = {
	has: (shard: number) => boolean;
	generationOf: (shard: number) => number | undefined;
	takeRequest: (origin: PeerOrigin, request: ShareRequest) => void;
	/** The configuration changed. */
	applyLimits: () => void;
	tick: () => void;
	/** Takes vacant shards, renews leases, drops shards that others issue. */
	maintain: (keeper: ShardKeeper) => Promise<void>;
	/** Gives all shards up; resolves with them. */
	release: (keeper: ShardKeeper) => Promise<number[]>;
	/** Shards whose holders are not all known yet. */
	incomplete: () => number;
	/** Stops all timers. */
	close: () => void;
};

const renewalsPerLease = 4;
const holderListMs = 600_000;

/** Creates an empty collection. */
export function createIssuedShards(options: IssuedShardsOptions): IssuedShards {
	const {settings, rows, evidence} = options;
	const issuers = new Map<number, ShardIssuer>();
	/** Workspaces that the shard's row names as started. */
	const started = new Set<string>();
	let applied = new Set<string>();
	let holders = new Set<string>();
	let holdersReadAt = Number.NEGATIVE_INFINITY;
	let renewedAt = performance.now();
	let unwritten = false;

	async function readHolders(): Promise<void> {
		const found = await rows.listHolders();
		holdersReadAt = performance.now();
		holders = new Set(found.keys());
		for (const [name, row] of found) {
			evidence.observeProcess(name, BigInt(row.incarnation));
			evidence.observeListed(name, row.listedIn);
		}
	}

	function begin(taken: TakenShard): void {
		const inherited = new Map(Object.entries(taken.before?.left ?? {}));
		const startedBefore = new Set(taken.before?.started);
		const fresh: WorkspaceLimit[] = [];
		for (const limit of options.limits().values()) {
			if (shardOf(limit.name, settings.shards) !== taken.shard) {
				continue;
			}

			fresh.push(limit);
			started.add(limit.name);
			if (!startedBefore.has(limit.name)) {
				// Nobody ever spent a token of it, so it may start full.
				inherited.set(limit.name, limit.burstTokens);
			}
		}

		const issuer = createShardIssuer({
			...options, ...taken, holders, inherited,
		});
		issuers.set(taken.shard, issuer);
		for (const limit of fresh) {
			applied.add(limit.name);
			issuer.setLimit(limit, false);
		}

		issuer.tick();
	}

	function applyLimits(): void {
		const limits = options.limits();
		for (const limit of limits.values()) {
			const issuer = issuers.get(shardOf(limit.name, settings.shards));
			if (!issuer) {
				continue;
			}

			if (started.has(limit.name)) {
				applied.add(limit.name);
				issuer.setLimit(limit, false);
			} else {
				// Its row must name it first, or a successor would start it full again.
				unwritten = true;
			}
		}

		for (const name of applied) {
			if (!limits.has(name)) {
				issuers.get(shardOf(name, settings.shards))?.removeLimit(name);
			}
		}

		applied = new Set([...applied].filter(name => limits.has(name)));
	}

	/** Gives limits to workspaces that were new in the rows just written, or could not be written. */
	function startNew(wanted: string[], confirmed: ReadonlyMap<number, number>): void {
		for (const name of wanted) {
			const limit = options.limits().get(name);
			const shard = shardOf(name, settings.shards);
			const issuer = issuers.get(shard);
			if (limit && issuer && !started.has(name)) {
				started.add(name);
				applied.add(name);
				issuer.setLimit(limit, confirmed.has(shard));
			}
		}
	}

	async function renew(keeper: ShardKeeper): Promise<void> {
		const now = performance.now();
		if (!unwritten && now < renewedAt + (settings.leaseMs / renewalsPerLease)) {
			return;
		}

		const wanted: string[] = [];
		for (const name of options.limits().keys()) {
			if (!started.has(name) && issuers.has(shardOf(name, settings.shards))) {
				wanted.push(name);
			}
		}

		unwritten = false;
		let confirmed = new Map<number, number>();
		try {
			confirmed = await keeper.renew([...issuers.keys()]);
			renewedAt = now;
		} finally {
			for (const [shard, leaseEnd] of confirmed) {
				issuers.get(shard)?.extendLease(leaseEnd);
			}

			startNew(wanted, confirmed);
		}
	}

	function dropLost(keeper: ShardKeeper): void {
		for (const [shard, issuer] of issuers) {
			const row = keeper.watched(shard)?.row;
			if (row && !keeper.isOurs(row)) {
				issuer.stop();
				issuers.delete(shard);
			}
		}
	}

	return {
		has: shard => issuers.has(shard),
		generationOf: shard => issuers.get(shard)?.generation,
		takeRequest(origin, request) {
			for (const wish of request.wishes) {
				const issuer = issuers.get(shardOf(wish.workspace, settings.shards));
				if (issuer && wish.generation < issuer.generation) {
					issuer.call(origin.name);
				}

				issuer?.takeWish(origin, wish);
			}

			for (const report of request.reports) {
				if (report.generation === 0 && holders.has(origin.name)) {
					// A daemon that knows no issuer, and that every successor will ask.
					for (const issuer of issuers.values()) {
						issuer.call(origin.name);
					}
				}

				const issuer = issuers.get(report.shard);
				if (issuer?.generation === report.generation) {
					issuer.takeReport(origin);
				} else if (issuer && report.generation > 0 && report.generation < issuer.generation) {
					issuer.call(origin.name);
				}
			}
		},
		applyLimits,
		tick() {
			for (const issuer of issuers.values()) {
				issuer.tick();
			}
		},
		async maintain(keeper) {
			dropLost(keeper);
			const taken = await keeper.takeVacant();
			// The list must be read after the row was written: a daemon that
			// registers later finds the new generation in the row.
			if (taken.length > 0 || performance.now() >= holdersReadAt + holderListMs) {
				await readHolders();
			}

			for (const shard of taken) {
				begin(shard);
			}

			if (issuers.size > 0) {
				await renew(keeper);
				dropLost(keeper);
			}
		},
		async release(keeper) {
			const left = new Map<number, Map<string, number>>();
			for (const [shard, issuer] of issuers) {
				left.set(shard, issuer.stop());
			}

			issuers.clear();
			await keeper.release(left);
			return [...left.keys()];
		},
		close() {
			for (const issuer of issuers.values()) {
				issuer.stop();
			}
		},
		incomplete() {
			let count = 0;
			for (const issuer of issuers.values()) {
				count += issuer.isComplete() ? 0 : 1;
			}

			return count;
		},
	};
}
