/**
 * Brings a daemon that has just started to what its peers know: from them
 * at once, else from the snapshot in the object store. Until it can serve
 * truly it is unready; it never guesses.
 */
import {randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {type SnapshotPart, SnapshotPartSchema, SnapshotRequestSchema} from '../../gen/hickorywalk/v1/recovery_pb.js';
import {LayerError} from '../errors/layer-error.js';
import {type PeerHandlers, type SendToPeer} from '../links/peer-link.js';
import {type ObjectClient} from '../platform/platform.js';
import {pause} from '../time/pause.js';
import {isSound, type RecoveryPart, sealPart} from './recovery-part.js';
import {createSnapshotStore} from './snapshot-store.js';

/** Options of {@link createRecovery}. */
export type RecoveryOptions = {
	objects: ObjectClient;
	send: SendToPeer;
	/** Live peers, nearest first, and this daemon's place among those of its data centre, as membership gives them. */
	peers: () => {nearby: readonly string[]; distant: readonly string[]; rank: number};
	parts: RecoveryPart[];
	/** Whether this daemon may serve truly: the follower's `mayServe`, and what else must hold. */
	canServe: () => boolean;
	/** Whether writing snapshots is this daemon's duty now. */
	holdsDuty: () => boolean;
	/** Milliseconds between snapshots; 60,000 by default. */
	snapshotMs?: number;
	/** Milliseconds that a peer has for its answer; 1,000 by default. */
	answerMs?: number;
	/** Milliseconds between two looks at what is missing; 100 by default. */
	checkMs?: number;
	/** Milliseconds after which a daemon that can serve truly goes ready though some part is missing, because no source has it; 5,000 by default. */
	longestWarmUpMs?: number;
	/** Milliseconds that a daemon at least waits for peers to be heard of while some part is missing; 1,000 by default. */
	fewestWarmUpMs?: number;
	/** Told of what could not be read, imported or written. */
	onFault?: (error: unknown) => void;
	/** Makes request ids; random by default. */
	createId?: () => string;
};

/** What a start took. */
export type RecoveryReport = {
	/** Milliseconds from the call to ready. */
	timeToServeMs: number;
	/** Where each part came from; absent are those that were known by another way, or found nowhere. */
	sources: Map<string, 'peer' | 'store'>;
};

/** Recovery of one daemon, and what it does for others. */
export type Recovery = {
	/** Resolves when the daemon may report ready; rejects only when stopped. */
	recover: () => Promise<RecoveryReport>;
	/** For the balancer: recovered, and able to serve truly now. */
	isReady: () => boolean;
	handlers: PeerHandlers;
	/** Starts to write snapshots while it is this daemon's duty. */
	start: () => void;
	/** Ends all; a recovery under way rejects. */
	stop: () => void;
};

const defaults = {
	snapshotMs: 60_000, answerMs: 1000, checkMs: 100, longestWarmUpMs: 5000, fewestWarmUpMs: 1000, createId: randomUUID,
};
/** Milliseconds by which each pair of daemons of a data centre waits longer for the store, so that a herd asks its first two. */
const storeStepMs = 500;
const longestStoreWaitMs = 5000;
const storeRetryMs = 2000;
const daemonsPerStep = 2;

/** Recovery was ended before the daemon became ready. */
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
	/** Peers that gave their whole answer. */
	const heardOut = new Set<string>();
	let storeAnswered = false;
	let request: {id: string; peer: string; sentAt: number} | undefined;
	let recovered = false;
	let stopped = false;
	let nextStoreAt = Infinity;
	let timer: NodeJS.Timeout | undefined;

	function missing(): RecoveryPart[] {
		return parts.filter(part => !sources.has(part.name) && !part.isKnown?.());
	}

	function take(snapshotPart: SnapshotPart, source: 'peer' | 'store'): void {
		const part = missing().find(({name}) => name === snapshotPart.name);
		if (part === undefined || !isSound(snapshotPart)) {
			return;
		}

		try {
			part.importContent(snapshotPart.content);
			sources.set(part.name, source);
		} catch (error) {
			// Not understood or contradictory: another source may have a better one.
			options.onFault?.(error);
		}
	}

	/** Asks the next peer, each once in a round; whoever has just started answers with nothing. */
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
				take(part, 'store');
			}

			storeAnswered = true;
		} catch (error) {
			options.onFault?.(error);
		}
	}

	/**
	 * Whether every source has said what it has. The first daemon of a fleet
	 * would else wait for what nobody knows.
	 */
	function isNothingLeft(): boolean {
		const {nearby, distant} = options.peers();
		return storeAnswered && [...nearby, ...distant].every(name => heardOut.has(name));
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
			return content === undefined ? [] : [sealPart(requestId, part.name, content)];
		});
	}

	async function writeSnapshot(): Promise<void> {
		// Only whoever is ready knows enough; an empty snapshot would push out a good one.
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

	function refuseWhenStopped(): void {
		if (stopped) {
			throw new RecoveryStoppedError('The daemon was stopped before it could serve.');
		}
	}

	async function recover(): Promise<RecoveryReport> {
		const startedAt = performance.now();
		nextStoreAt = startedAt + Math.min(longestStoreWaitMs, Math.floor(options.peers().rank / daemonsPerStep) * storeStepMs);
		for (;;) {
			refuseWhenStopped();
			const waitedMs = performance.now() - startedAt;
			const isWarm = missing().length === 0 || waitedMs >= settings.longestWarmUpMs
				|| (waitedMs >= settings.fewestWarmUpMs && isNothingLeft());
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
					take(part, 'peer');
				}

				if (part.last) {
					heardOut.add(origin.name);
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
