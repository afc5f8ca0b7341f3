/**
 * Keeps each workspace inside its rate and burst over all VMs together.
 *
 * Every daemon holds shares of rate and burst and admits from them without
 * asking anyone. A shard's issuer keeps the ledger of its workspaces' shares;
 * the table only says which daemon issues which shard, so it sees no write per
 * request, workspace or daemon. docs/design/limits.md has the argument why no
 * window of any length t admits more than burst + rate x t.
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
import {createShardKeeper} from './shard-keeper.js';
import {
	hashNames, type HashedName, rankDaemons, shardOf,
} from './shard-map.js';
import {createShareHolder} from './share-holder.js';

/** Options of {@link createTokenLimiter}. */
export type TokenLimiterOptions = {
	/** Name of this daemon; it must be the name of its VM in the platform's list. */
	name: string;
	/** Process of this daemon; grows with each start, as peers see it. */
	incarnation: bigint;
	/** Sends to other daemons. */
	send: SendToPeer;
	/** Where the shards' rows are kept. */
	table: TableClient;
	/** Told of table faults; the work is tried again by itself. */
	onError?: (error: unknown) => void;
	/** Runs what a timer called for; tests hold it back while a daemon is paused. */
	run?: (callback: () => void) => void;
	/** Changes to {@link defaultLimiterSettings}; the same on every daemon. */
	settings?: Partial<LimiterSettings>;
};

/** A limiter with what the daemon connects to it. */
export type FleetTokenLimiter = TokenLimiter & {
	/** Handlers of `shareRequest` and `shareTransfer`. */
	handlers: PeerHandlers;
	/** Takes over the limits of the document in force. */
	setWorkspaces: (workspaces: Iterable<WorkspaceLimit>) => void;
	/** Names the other daemons that are thought to run. */
	setPeers: (peers: Iterable<LimiterPeer>) => void;
	/** News from the platform's VM list. */
	observeVmList: (list: VmList) => void;
	/** Starts the timers; resolves when the first exchange with the table ended, either way. */
	start: () => Promise<void>;
	/** Whether this daemon is registered and knows who issues every workspace's shares. */
	isReady: () => boolean;
	/** Names of the daemons that issue the shares of the workspaces that are set. */
	issuers: () => Set<string>;
	/** One round of work; `start` calls it each `tickMs`. */
	tick: () => void;
	/** For a graceful stop, after the last request ended: returns shares and issued shards. */
	returnShares: () => Promise<void>;
	/** Stops timers and refuses all that wait. */
	close: () => void;
};

const maintainMs = 1000;
const returnMs = 2000;
const mostRetryMs = 5000;
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
	/** Processes that gave their shards up and must not get new ones. */
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
	const keeper = createShardKeeper({
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
		// Whoever holds shares must stand in the table: a new issuer asks those only.
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

	/** A peer gave a shard up: the table says so, and one of us should take it. */
	function noteLeaving(origin: PeerOrigin): void {
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
				noteLeaving(origin);
				continue;
			}

			// Only daemons that stand in the table are called.
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
		// That this VM was listed is written down once: after that, its absence proves its end to all.
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

		await keeper.refresh();
		nextRefresh = now + settings.refreshMs;
	}

	function adoptWatched(): void {
		for (const shard of workspacesByShard.keys()) {
			const watched = keeper.watched(shard);
			if (watched && known.adopt(shard, watched.row)) {
				holder.report(shard);
			}
		}
	}

	/** Tells peers that no issuer is known here while the table gives no answer. */
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
		nextMaintain = performance.now() + maintainMs;
		try {
			await register();
			await refresh();
			adoptWatched();
			await issued.maintain(keeper);
			adoptWatched();
		} catch (error) {
			nextMaintain = performance.now() + Math.min(mostRetryMs, maintainMs * 2);
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
			holder.giveBack();
			const deadline = performance.now() + returnMs;
			while (!holder.isEmpty() && performance.now() < deadline) {
				await pause(settings.tickMs);
			}

			try {
				tellSuccessors(await issued.release(keeper));
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
