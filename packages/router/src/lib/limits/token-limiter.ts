/**
 * Enforces each workspace's rate and burst over all VMs together.
 *
 * Every daemon holds shares of the rate and burst and admits requests from them
 * locally. The issuer of a shard keeps the accounts of its workspaces' shares.
 * The table only stores which daemon issues which shard, so there is no write
 * per request, workspace or daemon. docs/design/limits.md shows why no window of
 * length t admits more than burst + rate x t.
 */
import {create} from '@bufbuild/protobuf';
import {ShardCallSchema, ShardReportSchema, type ShareTransfer} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type TokenLimiter} from '../serving/ports.js';
import {type PeerHandlers, type PeerOrigin, type SendToPeer} from '../links/peer-link.js';
import {type TableClient, type VmList} from '../platform/platform.js';
import {pause} from '../time/pause.js';
import {createIssuedShards} from './issued-shards.js';
import {createKnownIssuers} from './known-issuers.js';
import {createLimitRows} from './limit-rows.js';
import {
	defaultLimiterSettings, type LimiterPeer, type LimiterSettings, type WorkspaceLimit,
} from './limiter-settings.js';
import {createLivenessEvidence} from './liveness-evidence.js';
import {createOutbox} from './outbox.js';
import {createShardLeases} from './shard-leases.js';
import {
	hashNames, type HashedName, rankDaemons, shardOf,
} from './shard-map.js';
import {createShareHolder} from './share-holder.js';

/** Options of {@link createTokenLimiter}. */
export type TokenLimiterOptions = {
	/** Name of this daemon; must be the name of its VM in the platform's list. */
	name: string;
	/** Incarnation of this process as peers see it; grows with each start. */
	incarnation: bigint;
	/** Sends messages to other daemons. */
	send: SendToPeer;
	/** Table that stores the rows of shards and holders. */
	table: TableClient;
	/** Called with errors of the table; the work is retried without further action. */
	onError?: (error: unknown) => void;
	/** Runs the callback of a timer; tests defer it while a daemon is paused. */
	run?: (callback: () => void) => void;
	/** Overrides of {@link defaultLimiterSettings}; must be the same on every daemon. */
	settings?: Partial<LimiterSettings>;
};

/** A limiter with the hooks that the daemon connects to it. */
export type FleetTokenLimiter = TokenLimiter & {
	/** Handlers of the peer messages `shareRequest` and `shareTransfer`. */
	handlers: PeerHandlers;
	/** Replaces the limits by those of the current document. */
	setWorkspaces: (workspaces: Iterable<WorkspaceLimit>) => void;
	/** Replaces the list of other daemons that are believed to be running. */
	setPeers: (peers: Iterable<LimiterPeer>) => void;
	/** Passes in a version of the platform's VM list. */
	observeVmList: (list: VmList) => void;
	/** Starts the timers; resolves once the first exchange with the table has succeeded or failed. */
	start: () => Promise<void>;
	/** Whether this daemon is registered and knows the issuer of every configured workspace. */
	isReady: () => boolean;
	/** Names of the known issuers of the configured workspaces. */
	issuers: () => Set<string>;
	/** Does the periodic work; called every `tickMs` after `start`. */
	tick: () => void;
	/** Returns all shares and releases the issued shards, for a graceful stop after the last request has ended. */
	returnShares: () => Promise<void>;
	/** Stops the timers and refuses all waiting requests. */
	close: () => void;
};

const maintainIntervalMs = 1000;
const returnTimeoutMs = 2000;
const maxRetryMs = 5000;
const successorsTold = 2;

/**
 * Creates the limiter of one daemon.
 *
 * @example
 * const limiter = createTokenLimiter({name: 'entry-1', incarnation, send, table: platform.table});
 * limiter.setWorkspaces([{name: 'school-1', tokensPerSecond: 1000, burstTokens: 20_000}]);
 * await limiter.start();
 * const result = await limiter.reserve('school-1', 1500, 500);
 */
export function createTokenLimiter(options: TokenLimiterOptions): FleetTokenLimiter {
	const settings = {...defaultLimiterSettings, ...options.settings};
	const {name, incarnation} = options;
	const run = options.run ?? (callback => {
		callback();
	});
	const rows = createLimitRows(options.table);
	const evidence = createLivenessEvidence(settings);
	evidence.observeProcess(name, incarnation);
	const known = createKnownIssuers();
	let limits = new Map<string, WorkspaceLimit>();
	let workspacesByShard = new Map<number, string[]>();
	let peers: LimiterPeer[] = [];
	let hashedNames = hashNames([name]);
	/** Incarnations of daemons that released their shards and must not take new ones, by name. */
	const leaving = new Map<string, bigint>();
	let registered = false;
	let writtenListing: number | undefined;
	let busy = false;
	let closed = false;
	let stopping = false;
	let nextMaintain = Number.NEGATIVE_INFINITY;
	let nextRefresh = Number.NEGATIVE_INFINITY;
	let flushTimer: NodeJS.Timeout | undefined;
	let tickTimer: NodeJS.Timeout | undefined;

	const outbox = createOutbox(deliver, () => {
		flushTimer ??= setTimeout(run, settings.flushMs, flush);
	});
	const issued = createIssuedShards({
		name, settings, evidence, outbox, rows, run, limits: () => limits,
	});
	const shardLeases = createShardLeases({
		name,
		incarnation,
		settings,
		rows,
		evidence,
		candidates,
		workspacesOf: () => workspacesByShard,
		generationOf: shard => known.of(shard)?.generation ?? 0,
		isIssuing: issued.has,
	});
	const holder = createShareHolder({
		settings,
		outbox,
		run,
		limitOf: workspace => limits.get(workspace),
		// A daemon must be registered before it holds shares: a new issuer asks only registered daemons.
		issuerOf: shard => registered ? known.of(shard) : undefined,
	});

	function candidates(): HashedName[] {
		return hashedNames.filter(peer => !leaving.has(peer.name));
	}

	function flush(): void {
		flushTimer = undefined;
		if (!closed) {
			outbox.flush();
		}
	}

	function deliver(...[to, body]: Parameters<SendToPeer>): void {
		if (to !== name) {
			options.send(to, body);
			return;
		}

		if (body.case === 'shareRequest') {
			issued.takeRequest({name, incarnation}, body.value);
		} else if (body.case === 'shareTransfer') {
			takeTransfer({name, incarnation}, body.value);
		}
	}

	/** A peer released a shard. The table is read again at once, so that another daemon takes it over. */
	function handleLeaving(origin: PeerOrigin): void {
		leaving.set(origin.name, origin.incarnation);
		nextRefresh = Number.NEGATIVE_INFINITY;
		void maintain();
	}

	function observe(origin: PeerOrigin): void {
		evidence.observeProcess(origin.name, origin.incarnation);
		if (origin.incarnation > (leaving.get(origin.name) ?? origin.incarnation)) {
			leaving.delete(origin.name);
		}
	}

	function takeTransfer(origin: PeerOrigin, transfer: ShareTransfer): void {
		for (const call of transfer.calls) {
			if (call.issuer === '') {
				handleLeaving(origin);
				continue;
			}

			// Issuers call only registered daemons.
			registered = true;
			const isNew = known.adopt(call.shard, call);
			const current = known.of(call.shard);
			if (isNew || (current?.issuer === origin.name && current.generation === call.generation)) {
				holder.report(call.shard);
			}
		}

		if (transfer.toIncarnation !== incarnation) {
			return;
		}

		for (const grant of transfer.grants) {
			holder.applyGrant(grant);
		}

		for (const notice of transfer.notices) {
			holder.applyNotice(notice);
		}
	}

	async function register(): Promise<void> {
		const listedIn = evidence.listedIn(name);
		// The row records once that this VM was listed: from then on, its absence from the list tells every daemon that it has ended.
		const isListingNew = writtenListing === 0 && listedIn > 0;
		if (writtenListing === undefined || isListingNew) {
			await rows.writeHolder(name, {incarnation: String(incarnation), listedIn});
			registered = true;
			writtenListing = listedIn;
		}
	}

	async function refresh(): Promise<void> {
		const now = performance.now();
		if (now < nextRefresh && known.hasAll(workspacesByShard.keys())) {
			return;
		}

		await shardLeases.refresh();
		nextRefresh = now + settings.refreshMs;
	}

	function adoptWatched(): void {
		for (const shard of workspacesByShard.keys()) {
			const watched = shardLeases.watched(shard);
			if (watched && known.adopt(shard, watched.row)) {
				holder.report(shard);
			}
		}
	}

	/** Reports to all peers with generation 0, so that the issuers among them name themselves while the table is unavailable. */
	function askPeers(): void {
		for (const peer of peers) {
			outbox.report(peer.name, create(ShardReportSchema, {shard: 0, generation: 0}));
		}
	}

	async function maintain(): Promise<void> {
		if (busy || closed || stopping) {
			return;
		}

		busy = true;
		nextMaintain = performance.now() + maintainIntervalMs;
		try {
			await register();
			await refresh();
			adoptWatched();
			await issued.maintain(shardLeases);
			adoptWatched();
		} catch (error) {
			nextMaintain = performance.now() + Math.min(maxRetryMs, maintainIntervalMs * 2);
			if (!registered || !known.hasAll(workspacesByShard.keys())) {
				askPeers();
			}

			options.onError?.(error);
		} finally {
			busy = false;
		}
	}

	function tellSuccessors(shards: number[]): void {
		const successors = candidates().filter(peer => peer.name !== name);
		for (const shard of shards) {
			const generation = known.of(shard)?.generation ?? 0;
			for (const successor of rankDaemons(shard, successors).slice(0, successorsTold)) {
				outbox.call(successor, create(ShardCallSchema, {shard, generation, issuer: ''}));
			}
		}

		flush();
	}

	function tick(): void {
		if (closed) {
			return;
		}

		issued.tick();
		holder.tick();
		if (performance.now() >= nextMaintain) {
			void maintain();
		}
	}

	return {
		reserve: holder.reserve,
		handlers: {
			shareRequest(origin, request) {
				observe(origin);
				issued.takeRequest(origin, request);
			},
			shareTransfer(origin, transfer) {
				observe(origin);
				takeTransfer(origin, transfer);
			},
		},
		setWorkspaces(workspaces) {
			limits = new Map();
			workspacesByShard = new Map();
			for (const {name: workspace, tokensPerSecond, burstTokens} of workspaces) {
				limits.set(workspace, {name: workspace, tokensPerSecond, burstTokens});
				const shard = shardOf(workspace, settings.shards);
				workspacesByShard.set(shard, [...workspacesByShard.get(shard) ?? [], workspace]);
			}

			issued.applyLimits();
			nextMaintain = Number.NEGATIVE_INFINITY;
		},
		setPeers(next) {
			peers = [...next].filter(peer => peer.name !== name);
			hashedNames = hashNames([name, ...peers.map(peer => peer.name)]);
		},
		observeVmList(list) {
			evidence.observeList(list);
		},
		async start() {
			await maintain();
			if (!closed) {
				tickTimer ??= setInterval(run, settings.tickMs, tick);
			}
		},
		isReady: () => registered && known.hasAll(workspacesByShard.keys()),
		issuers: () => known.names(workspacesByShard.keys()),
		tick,
		async returnShares() {
			stopping = true;
			holder.returnAll();
			const deadline = performance.now() + returnTimeoutMs;
			while (!holder.isEmpty() && performance.now() < deadline) {
				await pause(settings.tickMs);
			}

			try {
				tellSuccessors(await issued.release(shardLeases));
			} catch (error) {
				options.onError?.(error);
			}
		},
		close() {
			closed = true;
			clearInterval(tickTimer);
			clearTimeout(flushTimer);
			holder.close();
			issued.close();
		},
	};
}
