/** The shards that this process issues, with the configured limits applied to them. */
import {type PeerOrigin} from '../links/peer-link.js';
import {type ShareRequest} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type LimitRows} from './limit-rows.js';
import {type LimiterSettings, type WorkspaceLimit} from './limiter-settings.js';
import {type LivenessEvidence} from './liveness-evidence.js';
import {type Outbox} from './outbox.js';
import {createShardIssuer, type ShardIssuer} from './shard-issuer.js';
import {type ShardLeases, type TakenShard} from './shard-leases.js';
import {shardOf} from './shard-map.js';

/** Options of {@link createIssuedShards}. */
export type IssuedShardsOptions = {
	name: string;
	settings: LimiterSettings;
	evidence: LivenessEvidence;
	outbox: Outbox;
	rows: LimitRows;
	/** Runs the callback of a timer. */
	run: (callback: () => void) => void;
	/** Configured limits by workspace. */
	limits: () => ReadonlyMap<string, WorkspaceLimit>;
};

/** The issued shards. Methods that read or write the table throw `LimitsTableError`. */
export type IssuedShards = {
	has: (shard: number) => boolean;
	generationOf: (shard: number) => number | undefined;
	takeRequest: (origin: PeerOrigin, request: ShareRequest) => void;
	/** Applies the configured limits after a change. */
	applyLimits: () => void;
	tick: () => void;
	/** Takes vacant shards, renews leases, drops shards that other daemons issue. */
	maintain: (shardLeases: ShardLeases) => Promise<void>;
	/** Releases all shards; resolves with their numbers. */
	release: (shardLeases: ShardLeases) => Promise<number[]>;
	/** Number of shards whose holders are not all known yet. */
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
	/** Workspaces with a limit here that their shard's row lists as started, or that are treated so. */
	const started = new Set<string>();
	let applied = new Set<string>();
	let holders = new Set<string>();
	let holdersReadAt = Number.NEGATIVE_INFINITY;
	let renewedAt = performance.now();
	let hasUnwrittenWorkspaces = false;

	async function readHolders(): Promise<void> {
		const found = await rows.listHolders();
		holdersReadAt = performance.now();
		holders = new Set(found.keys());
		for (const [name, row] of found) {
			evidence.observeProcess(name, BigInt(row.incarnation));
			evidence.observeListed(name, row.listedIn);
		}
	}

	function startIssuer(taken: TakenShard): void {
		const inherited = new Map(Object.entries(taken.before?.left ?? {}));
		const startedBefore = new Set(taken.before?.started);
		const shardLimits: WorkspaceLimit[] = [];
		for (const limit of options.limits().values()) {
			if (shardOf(limit.name, settings.shards) !== taken.shard) {
				continue;
			}

			shardLimits.push(limit);
			started.add(limit.name);
			if (!startedBefore.has(limit.name)) {
				// No token of it was ever spent, so it may start with a full burst.
				inherited.set(limit.name, limit.burstTokens);
			}
		}

		const issuer = createShardIssuer({
			...options, ...taken, holders, inherited,
		});
		issuers.set(taken.shard, issuer);
		for (const limit of shardLimits) {
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
				// The row must list it first, or a successor would start it with a full burst again.
				hasUnwrittenWorkspaces = true;
			}
		}

		for (const name of applied) {
			if (!limits.has(name)) {
				issuers.get(shardOf(name, settings.shards))?.removeLimit(name);
			}
		}

		applied = new Set([...applied].filter(name => limits.has(name)));
	}

	/** Sets the limits of new workspaces after their rows were written; those whose write failed start with an empty reserve. */
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

	async function renew(shardLeases: ShardLeases): Promise<void> {
		const now = performance.now();
		if (!hasUnwrittenWorkspaces && now < renewedAt + (settings.leaseMs / renewalsPerLease)) {
			return;
		}

		const wanted: string[] = [];
		for (const name of options.limits().keys()) {
			if (!started.has(name) && issuers.has(shardOf(name, settings.shards))) {
				wanted.push(name);
			}
		}

		hasUnwrittenWorkspaces = false;
		let confirmed = new Map<number, number>();
		try {
			confirmed = await shardLeases.renew([...issuers.keys()]);
			renewedAt = now;
		} finally {
			for (const [shard, leaseEnd] of confirmed) {
				issuers.get(shard)?.extendLease(leaseEnd);
			}

			startNew(wanted, confirmed);
		}
	}

	function dropLost(shardLeases: ShardLeases): void {
		for (const [shard, issuer] of issuers) {
			const row = shardLeases.watched(shard)?.row;
			if (row && !shardLeases.isOurs(row)) {
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
					// A registered daemon that knows no issuer: every later issuer will call it too.
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
		async maintain(shardLeases) {
			dropLost(shardLeases);
			const taken = await shardLeases.takeVacant();
			// The holders must be read after the shard's row was written: a daemon
			// that registers later finds the new generation in the row.
			if (taken.length > 0 || performance.now() >= holdersReadAt + holderListMs) {
				await readHolders();
			}

			for (const shard of taken) {
				startIssuer(shard);
			}

			if (issuers.size > 0) {
				await renew(shardLeases);
				dropLost(shardLeases);
			}
		},
		async release(shardLeases) {
			const left = new Map<number, Map<string, number>>();
			for (const [shard, issuer] of issuers) {
				left.set(shard, issuer.stop());
			}

			issuers.clear();
			await shardLeases.release(left);
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
