/**
 * Recovers the state of a daemon that has just started: from its peers, or else
 * from the snapshot in the object store. The daemon stays unready until it has
 * what it needs to serve correctly; it never serves from state that may be
 * outdated.
 */
import {randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {type SnapshotPart, SnapshotPartSchema, SnapshotRequestSchema} from '../../gen/hickorywalk/v1/recovery_pb.js';
import {LayerError} from '../errors/layer-error.js';
import {type PeerHandlers, type SendToPeer} from '../links/peer-link.js';
import {type ObjectClient} from '../platform/platform.js';
import {pause} from '../time/pause.js';
import {hasValidChecksum, type RecoveryPart, createSnapshotPart} from './recovery-part.js';
import {createSnapshotStore} from './snapshot-store.js';

/** Options of {@link createRecovery}. */
export type RecoveryOptions = {
	objects: ObjectClient;
	send: SendToPeer;
	/** Live peers, nearest first, and this daemon's rank among the daemons of its data centre, from membership. */
	peers: () => {nearby: readonly string[]; distant: readonly string[]; rank: number};
	parts: RecoveryPart[];
	/** Whether this daemon may serve: the configuration follower's `mayServe`, and any further conditions. */
	canServe: () => boolean;
	/** Whether this daemon currently has the duty of writing snapshots. */
	holdsDuty: () => boolean;
	/** Milliseconds between snapshots; 60,000 by default. */
	snapshotMs?: number;
	/** Milliseconds to wait for the answer of a peer; 1,000 by default. */
	answerMs?: number;
	/** Milliseconds between checks for missing parts; 100 by default. */
	checkMs?: number;
	/** Milliseconds after which a daemon that can serve becomes ready even if a part is missing, as no source may have it; 5,000 by default. */
	longestWarmUpMs?: number;
	/** Minimum milliseconds that a daemon with missing parts waits for peers to be discovered; 1,000 by default. */
	fewestWarmUpMs?: number;
	/** Called with errors of reading, importing or writing parts. */
	onFault?: (error: unknown) => void;
	/** Makes request ids; random by default. */
	createId?: () => string;
};

/** Duration and sources of a recovery. */
export type RecoveryReport = {
	/** Milliseconds from the call of `recover` until ready. */
	timeToServeMs: number;
	/** Source of each recovered part; parts that were already known or not found are absent. */
	sources: Map<string, 'peer' | 'store'>;
};

/** Recovery of one daemon, and its answers and snapshots for others. */
export type Recovery = {
	/** Resolves when the daemon may report ready; rejects with `RecoveryStoppedError` when stopped. */
	recover: () => Promise<RecoveryReport>;
	/** Whether the daemon has recovered and can serve now, for the load balancer. */
	isReady: () => boolean;
	handlers: PeerHandlers;
	/** Starts to write snapshots periodically while this daemon has that duty. */
	start: () => void;
	/** Stops writing snapshots; a running recovery rejects. */
	stop: () => void;
};

const defaults = {
	snapshotMs: 60_000, answerMs: 1000, checkMs: 100, longestWarmUpMs: 5000, fewestWarmUpMs: 1000, createId: randomUUID,
};
/** Milliseconds by which each pair of daemons of a data centre waits longer for the store, so that in a mass restart only the first two read it at once. */
const storeStepMs = 500;
const longestStoreWaitMs = 5000;
const storeRetryMs = 2000;
const daemonsPerStep = 2;

/** Recovery was stopped before the daemon became ready. */
export class RecoveryStoppedError extends LayerError {
	readonly code = 'recovery_stopped';
}

/**
 * Creates the recovery of a daemon.
 *
 * @example
 * const recovery = createRecovery({objects, send, peers, parts: [createConfigurationPart(follower)], canServe: follower.mayServe, holdsDuty});
 * network.handle(recovery.handlers);
 * await recovery.recover();
 */
export function createRecovery(options: RecoveryOptions): Recovery {
	const settings = {...defaults, ...options};
	const {parts, send} = options;
	const store = createSnapshotStore(options.objects);
	const sources = new Map<string, 'peer' | 'store'>();
	const asked = new Set<string>();
	/** Peers whose answer is complete. */
	const answeredPeers = new Set<string>();
	let storeAnswered = false;
	let request: {id: string; peer: string; sentAt: number} | undefined;
	let recovered = false;
	let stopped = false;
	let nextStoreAt = Infinity;
	let timer: NodeJS.Timeout | undefined;

	function missing(): RecoveryPart[] {
		return parts.filter(part => !sources.has(part.name) && !part.isKnown?.());
	}

	function importPart(snapshotPart: SnapshotPart, source: 'peer' | 'store'): void {
		const part = missing().find(({name}) => name === snapshotPart.name);
		if (part === undefined || !hasValidChecksum(snapshotPart)) {
			return;
		}

		try {
			part.importContent(snapshotPart.content);
			sources.set(part.name, source);
		} catch (error) {
			// The part is unreadable or inconsistent; another source may have a valid one.
			options.onFault?.(error);
		}
	}

	/** Requests missing parts from the next peer, each once per round; a peer that has not recovered yet answers with none. */
	function askPeer(): void {
		if (request !== undefined && performance.now() - request.sentAt < settings.answerMs) {
			return;
		}

		const {nearby, distant} = options.peers();
		const candidates = [...nearby, ...distant];
		let peer = candidates.find(name => !asked.has(name));
		if (peer === undefined) {
			asked.clear();
			peer = candidates[0];
		}

		if (peer === undefined) {
			return;
		}

		asked.add(peer);
		request = {id: settings.createId(), peer, sentAt: performance.now()};
		send(peer, {case: 'snapshotRequest', value: create(SnapshotRequestSchema, {id: request.id, parts: missing().map(part => part.name)})});
	}

	async function askStore(): Promise<void> {
		if (performance.now() < nextStoreAt) {
			return;
		}

		nextStoreAt = performance.now() + storeRetryMs;
		try {
			for (const part of await store.read(missing().map(part => part.name))) {
				importPart(part, 'store');
			}

			storeAnswered = true;
		} catch (error) {
			options.onFault?.(error);
		}
	}

	/**
	 * Whether the store and all peers have answered. Without this check, the first
	 * daemon of a fleet would wait for parts that no source has.
	 */
	function haveAllSourcesAnswered(): boolean {
		const {nearby, distant} = options.peers();
		return storeAnswered && [...nearby, ...distant].every(name => answeredPeers.has(name));
	}

	function answer(to: string, requestId: string, names: readonly string[]): void {
		const answers = recovered ? exportParts(requestId, names) : [];
		if (answers.length === 0) {
			answers.push(create(SnapshotPartSchema, {requestId}));
		}

		for (const [index, value] of answers.entries()) {
			value.last = index === answers.length - 1;
			send(to, {case: 'snapshotPart', value});
		}
	}

	function exportParts(requestId: string, names: readonly string[]): SnapshotPart[] {
		return parts.filter(part => names.includes(part.name)).flatMap(part => {
			const content = part.exportContent();
			return content === undefined ? [] : [createSnapshotPart(requestId, part.name, content)];
		});
	}

	async function writeSnapshot(): Promise<void> {
		// Only a ready daemon has complete state; an empty snapshot would displace a good one.
		if (!isReady() || !options.holdsDuty()) {
			return;
		}

		try {
			await store.write(exportParts('', parts.map(part => part.name)));
		} catch (error) {
			options.onFault?.(error);
		}
	}

	function isReady(): boolean {
		return recovered && options.canServe();
	}

	function throwIfStopped(): void {
		if (stopped) {
			throw new RecoveryStoppedError('The daemon was stopped before it could serve.');
		}
	}

	async function recover(): Promise<RecoveryReport> {
		const startedAt = performance.now();
		nextStoreAt = startedAt + Math.min(longestStoreWaitMs, Math.floor(options.peers().rank / daemonsPerStep) * storeStepMs);
		for (;;) {
			throwIfStopped();
			const waitedMs = performance.now() - startedAt;
			const isWarm = missing().length === 0 || waitedMs >= settings.longestWarmUpMs
				|| (waitedMs >= settings.fewestWarmUpMs && haveAllSourcesAnswered());
			if (isWarm && options.canServe()) {
				recovered = true;
				return {timeToServeMs: waitedMs, sources};
			}

			if (missing().length > 0) {
				askPeer();
				void askStore();
			}

			await pause(settings.checkMs);
		}
	}

	return {
		recover,
		isReady,
		handlers: {
			snapshotRequest(origin, {id, parts: names}) {
				answer(origin.name, id, names);
			},
			snapshotPart(origin, part) {
				if (part.requestId !== request?.id) {
					return;
				}

				if (part.name !== '') {
					importPart(part, 'peer');
				}

				if (part.last) {
					answeredPeers.add(origin.name);
					request = undefined;
				}
			},
		},
		start() {
			timer ??= setInterval(() => {
				void writeSnapshot();
			}, settings.snapshotMs);
		},
		stop() {
			stopped = true;
			clearInterval(timer);
			timer = undefined;
		},
	};
}
