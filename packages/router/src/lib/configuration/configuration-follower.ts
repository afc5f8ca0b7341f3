/**
 * Brings accepted versions into force in one daemon, and tells its peers.
 *
 * Few daemons of each data centre read the small head in the table; the others
 * hear it from them with its age, and read it themselves only when that news
 * grows old. What changed comes from the peer that told, else from the store.
 */
import {create} from '@bufbuild/protobuf';
import {type ConfigurationSections, ConfigurationHeadSchema, ConfigurationRequestSchema} from '../../gen/hickorywalk/v1/configuration_pb.js';
import {LayerError} from '../errors/layer-error.js';
import {type PeerHandlers, type SendToPeer} from '../links/peer-link.js';
import {type ConfigurationLoader, type HeldConfiguration} from './configuration-loader.js';
import {type VersionRecord} from './configuration-records.js';
import {type Reach} from './configuration-store.js';
import {type AcceptedDocument} from './document.js';
import {createHeadKnowledge} from './head-knowledge.js';
import {createPollSchedule} from './poll-schedule.js';
import {
	answerRequest, createSectionAssembly, createStepHistory, decodeAge, encodeAge,
} from './section-exchange.js';
import {
	emptySectionSet, type SectionDelta, type SectionSet, wholeDelta,
} from './section-set.js';

/** The live peers of a daemon, itself left out. */
export type ConfigurationPeers = {
	/** Daemons of its own data centre. */
	nearby: readonly string[];
	/** Daemons elsewhere. */
	distant: readonly string[];
	/** Place of this daemon in an order that its data centre agrees on, from 0. */
	rank: number;
};

/** Options of {@link createConfigurationFollower}. */
export type ConfigurationFollowerOptions = {
	loader: ConfigurationLoader;
	send: SendToPeer;
	peers: () => ConfigurationPeers;
	/** How many listed daemons this one hears, itself included. */
	reach: () => Reach;
	/** Milliseconds between reads of the head by the first daemons of a data centre; 500 by default. */
	pollMs?: number;
	/** How many daemons of a data centre read the head at that pace; 2 by default. */
	pollersPerDataCentre?: number;
	/** Milliseconds after which a daemon that knows nothing newer, and hears no majority, serves no key; 15,000 by default. */
	isolationLimitMs?: number;
	/** Told of a version that this daemon can't bring into force. */
	onRefused?: (version: number, error: unknown) => void;
	/** Between 0 and 1, for the choice of a distant peer; `Math.random` by default. */
	random?: () => number;
};

/** What listeners hear. */
export type ConfigurationListener = (accepted: AcceptedDocument) => void;

/** Keeps the newest accepted version in force in one daemon. */
export type ConfigurationFollower = {
	/** The version in force; `undefined` before the first. */
	current: () => AcceptedDocument | undefined;
	/** Calls on each new version, in order, before anything else is served. Returns how to end it. */
	subscribe: (listener: ConfigurationListener) => () => void;
	/** Milliseconds since the version in force was last known to be the newest; `Infinity` when never. */
	freshnessAgeMs: () => number;
	/** Whether keys may be taken by the version in force; see docs/design/configuration.md. */
	mayServe: () => boolean;
	/** Reads the head now; for the daemon that has just accepted a change. */
	refresh: () => Promise<void>;
	/** The version in force as sections, for snapshots; `undefined` before the first. */
	held: () => HeldConfiguration | undefined;
	/** Takes a version from a snapshot; a lower one than in force changes nothing. Its age proves nothing, so that it alone never lets the daemon serve. */
	adopt: (version: number, set: SectionSet) => void;
	handlers: PeerHandlers;
	/** Starts to poll. */
	start: () => void;
	stop: () => void;
};

const defaultPollMs = 500;
const defaultPollers = 2;
const defaultIsolationLimitMs = 15_000;
const ticksPerPoll = 2;
/** News from afar is passed on nearby when it is this much fresher, in milliseconds. */
const relayGainMs = 1000;

/**
 * Creates the follower of one daemon.
 *
 * @example
 * const follower = createConfigurationFollower({loader: store, send, peers, reach});
 * network.handle(follower.handlers);
 * follower.start();
 */
export function createConfigurationFollower(options: ConfigurationFollowerOptions): ConfigurationFollower {
	const {loader, send, peers} = options;
	const pollMs = options.pollMs ?? defaultPollMs;
	const isolationLimitMs = options.isolationLimitMs ?? defaultIsolationLimitMs;
	const random = options.random ?? Math.random;
	const schedule = createPollSchedule({
		pollMs,
		pollersPerDataCentre: options.pollersPerDataCentre ?? defaultPollers,
		rank: () => peers().rank,
		random,
	});
	const knowledge = createHeadKnowledge();
	const steps = createStepHistory();
	const assembly = createSectionAssembly();
	const listeners = new Set<ConfigurationListener>();
	let held: HeldConfiguration = {version: 0, set: emptySectionSet};
	let accepted: AcceptedDocument | undefined;
	let timer: NodeJS.Timeout | undefined;
	let polling: Promise<void> | undefined;
	let askedAt = -Infinity;
	let lastFreshAt = -Infinity;

	/**
	 * The one place where a version comes into force. A lower version is never
	 * taken: it would bring back withdrawn keys from a stale peer or an old object.
	 */
	function takeOver(version: number, set: SectionSet, fromVersion: number, delta: SectionDelta): void {
		if (version <= held.version) {
			return;
		}

		held = {version, set};
		accepted = {version, document: set.document};
		steps.add({fromVersion, version, delta});

		for (const listener of listeners) {
			listener(accepted);
		}
	}

	function freshnessAgeMs(): number {
		const newest = knowledge.newest();
		// Once a newer version is known of, the one in force is not the newest and can't be renewed.
		return newest.version === held.version ? newest.ageMs : performance.now() - lastFreshAt;
	}

	function learn(version: number, ageMs: number): void {
		knowledge.learn({version, ageMs});
		noteFreshness();
	}

	function noteFreshness(): void {
		const newest = knowledge.newest();
		if (newest.version === held.version) {
			lastFreshAt = Math.max(lastFreshAt, performance.now() - newest.ageMs);
		}
	}

	function announceTo(names: Iterable<string>): void {
		const newest = knowledge.newest();
		if (newest.ageMs === Infinity || newest.version === 0) {
			return;
		}

		for (const name of names) {
			send(name, {
				case: 'configurationHead',
				value: create(ConfigurationHeadSchema, {version: BigInt(newest.version), ageMs: encodeAge(newest.ageMs)}),
			});
		}
	}

	function pickDistant(): string[] {
		const {distant} = peers();
		return distant.length === 0 ? [] : [distant[Math.floor(random() * distant.length)]];
	}

	async function loadFromStore(record: VersionRecord): Promise<void> {
		const loaded = await loader.load(record, held.version === 0 ? undefined : held);
		takeOver(loaded.version, loaded.set, loaded.fromVersion, loaded.delta);
		noteFreshness();
	}

	function refuse(version: number, error: unknown): void {
		if (!(error instanceof LayerError)) {
			throw error;
		}

		options.onRefused?.(version, error);
	}

	async function poll(): Promise<void> {
		const askedAtMs = performance.now();
		try {
			const head = await loader.readHead();
			// The answer may be as old as the question: age counts from there.
			learn(head?.record.version ?? 0, performance.now() - askedAtMs);
			if (head !== undefined && head.record.version > held.version) {
				await loadFromStore(head.record);
			}

			schedule.succeeded();
		} catch (error) {
			schedule.failed();
			refuse(knowledge.newest().version, error);
		} finally {
			// Also when the store is away: a peer back from a cut must hear what it missed.
			announceTo(peers().nearby);
			announceTo(pickDistant());
			polling = undefined;
		}
	}

	/** A daemon that has just started asks one peer after another, so that it need not wait for a poll of theirs. */
	function askPeer(): void {
		const {nearby, distant} = peers();
		const candidates = [...nearby, ...distant];
		if (candidates.length > 0) {
			askedAt = performance.now();
			requestFrom(candidates[Math.floor(random() * candidates.length)]);
		}
	}

	function requestFrom(name: string): void {
		send(name, {case: 'configurationRequest', value: create(ConfigurationRequestSchema, {heldVersion: BigInt(held.version)})});
	}

	function tick(): void {
		const now = performance.now();
		if (knowledge.newest().ageMs === Infinity && now - askedAt > pollMs) {
			askPeer();
		}

		// A peer that was asked and did not answer: the store is asked instead.
		const unanswered = knowledge.newest().version > held.version && now - askedAt > pollMs * 2;
		if (polling === undefined && schedule.isDue(knowledge.newest().ageMs, unanswered)) {
			polling = poll();
		}
	}

	const handlers: PeerHandlers = {
		configurationHead(origin, head) {
			const before = knowledge.newest();
			const version = Number(head.version);
			learn(version, decodeAge(head.ageMs));
			if (version > held.version && performance.now() - askedAt > pollMs) {
				askedAt = performance.now();
				requestFrom(origin.name);
			}

			const after = knowledge.newest();
			const gained = after.version > before.version || before.ageMs - after.ageMs > relayGainMs;
			const {nearby} = peers();
			if (gained && !nearby.includes(origin.name)) {
				announceTo(nearby);
			}
		},
		configurationRequest(origin, req) {
			announceTo([origin.name]);
			for (const value of answerRequest(Number(req.heldVersion), held, steps)) {
				send(origin.name, {case: 'configurationSections', value});
			}
		},
		configurationSections(_origin, part) {
			takePart(part);
		},
	};

	function takePart(part: ConfigurationSections): void {
		try {
			const assembled = assembly.add(part, held);
			if (assembled === undefined) {
				return;
			}

			takeOver(assembled.version, assembled.set, assembled.fromVersion, assembled.delta);
			// Sections say nothing of freshness: they may have waited long in a queue.
			noteFreshness();
		} catch (error) {
			refuse(Number(part.version), error);
		}
	}

	return {
		current: () => accepted,
		subscribe(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		freshnessAgeMs,
		mayServe() {
			const ageMs = freshnessAgeMs();
			if (accepted === undefined || ageMs === Infinity) {
				return false;
			}

			if (ageMs <= isolationLimitMs) {
				return true;
			}

			// A daemon back from a cut may hear a majority before it hears what it missed.
			const {heard, listed, newestVersion = 0} = options.reach();
			const isNewest = Math.max(knowledge.newest().version, newestVersion) === held.version;
			return isNewest && heard * 2 > listed;
		},
		async refresh() {
			await polling;
			polling ??= poll();
			await polling;
		},
		held: () => held.version === 0 ? undefined : held,
		adopt(version, set) {
			takeOver(version, set, 0, wholeDelta(set));
		},
		handlers,
		start() {
			schedule.start();
			tick();
			timer ??= setInterval(tick, pollMs / ticksPerPoll);
		},
		stop() {
			clearInterval(timer);
			timer = undefined;
		},
	};
}
