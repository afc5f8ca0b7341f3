/**
 * Brings accepted versions into force in one daemon and announces them to its
 * peers.
 *
 * A few daemons of each data centre poll the head row in the table; the others
 * receive it from them with its age, and read the row themselves only when that
 * age grows too high. Changed sections are requested from the announcing peer,
 * or read from the store if it does not answer.
 */
import {create} from '@bufbuild/protobuf';
import {type ConfigurationSections, ConfigurationHeadSchema, ConfigurationRequestSchema} from '../../gen/hickorywalk/v1/configuration_pb.js';
import {LayerError} from '../errors/layer-error.js';
import {type PeerHandlers, type SendToPeer} from '../links/peer-link.js';
import {type ConfigurationLoader, type HeldConfiguration} from './configuration-loader.js';
import {type VersionRecord} from './configuration-records.js';
import {type Reach} from './configuration-store.js';
import {type AcceptedDocument} from './document.js';
import {createHeadTracker} from './head-tracker.js';
import {createPollSchedule} from './poll-schedule.js';
import {
	answerRequest, createSectionAssembly, createStepHistory, decodeAge, encodeAge,
} from './section-exchange.js';
import {
	emptySectionSet, type SectionDelta, type SectionSet, fullDelta,
} from './section-set.js';

/** The live peers of a daemon, excluding itself. */
export type ConfigurationPeers = {
	/** Daemons of the same data centre. */
	nearby: readonly string[];
	/** Daemons of other data centres. */
	distant: readonly string[];
	/** Rank of this daemon, from 0, in an order that is the same for all daemons of its data centre. */
	rank: number;
};

/** Options of {@link createConfigurationFollower}. */
export type ConfigurationFollowerOptions = {
	loader: ConfigurationLoader;
	send: SendToPeer;
	peers: () => ConfigurationPeers;
	/** How many listed daemons this one receives heartbeats from, itself included. */
	reach: () => Reach;
	/** Milliseconds between reads of the head by the first-ranked daemons of a data centre; 500 by default. */
	pollMs?: number;
	/** How many daemons of a data centre poll at that interval; 2 by default. */
	pollersPerDataCentre?: number;
	/** Milliseconds since its version was last known to be the newest after which a daemon accepts keys only while it receives heartbeats from a majority and knows of no newer version; 15,000 by default. */
	isolationLimitMs?: number;
	/** Called for a version that this daemon can't bring into force. */
	onRefused?: (version: number, error: unknown) => void;
	/** Random source in [0, 1), for the choice of peers and the backoff; `Math.random` by default. */
	random?: () => number;
};

/** Called with each new version in force. */
export type ConfigurationListener = (accepted: AcceptedDocument) => void;

/** Keeps one daemon on the newest accepted version. */
export type ConfigurationFollower = {
	/** The version in force; `undefined` before the first. */
	current: () => AcceptedDocument | undefined;
	/** Calls the listener synchronously for each new version, in ascending order. Returns a function that unsubscribes. */
	subscribe: (listener: ConfigurationListener) => () => void;
	/** Milliseconds since the version in force was last known to be the newest; `Infinity` if it never was. */
	freshnessAgeMs: () => number;
	/** Whether keys may be authenticated by the version in force; see docs/design/configuration.md. */
	mayServe: () => boolean;
	/** Reads the head now; used by the daemon that has just accepted a change. */
	refresh: () => Promise<void>;
	/** The version in force as sections, for snapshots; `undefined` before the first. */
	held: () => HeldConfiguration | undefined;
	/** Brings a version from a snapshot into force; ignored unless it is higher than the current one. A snapshot may be outdated, so it does not count as proof of freshness: the daemon serves only after a head confirms the version. */
	adopt: (version: number, set: SectionSet) => void;
	handlers: PeerHandlers;
	/** Starts polling. */
	start: () => void;
	stop: () => void;
};

const defaultPollMs = 500;
const defaultPollers = 2;
const defaultIsolationLimitMs = 15_000;
const ticksPerPoll = 2;
/** Milliseconds by which a head from another data centre must be fresher to be relayed within this one. */
const minRelayGainMs = 1000;

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
	const headTracker = createHeadTracker();
	const steps = createStepHistory();
	const assembly = createSectionAssembly();
	const listeners = new Set<ConfigurationListener>();
	let held: HeldConfiguration = {version: 0, set: emptySectionSet};
	let accepted: AcceptedDocument | undefined;
	let timer: NodeJS.Timeout | undefined;
	let polling: Promise<void> | undefined;
	let requestedAt = -Infinity;
	let lastFreshAt = -Infinity;

	/**
	 * The only place where a version comes into force. Lower versions are ignored:
	 * one from a stale peer or an old object would restore withdrawn keys.
	 */
	function activate(version: number, set: SectionSet, fromVersion: number, delta: SectionDelta): void {
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
		const newest = headTracker.newest();
		// Once a newer version is known, the one in force is outdated and its freshness can't be renewed.
		return newest.version === held.version ? newest.ageMs : performance.now() - lastFreshAt;
	}

	function observeHead(version: number, ageMs: number): void {
		headTracker.observe({version, ageMs});
		updateFreshness();
	}

	function updateFreshness(): void {
		const newest = headTracker.newest();
		if (newest.version === held.version) {
			lastFreshAt = Math.max(lastFreshAt, performance.now() - newest.ageMs);
		}
	}

	function announceTo(names: Iterable<string>): void {
		const newest = headTracker.newest();
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

	function pickDistantPeer(): string[] {
		const {distant} = peers();
		return distant.length === 0 ? [] : [distant[Math.floor(random() * distant.length)]];
	}

	async function loadFromStore(record: VersionRecord): Promise<void> {
		const loaded = await loader.load(record, held.version === 0 ? undefined : held);
		activate(loaded.version, loaded.set, loaded.fromVersion, loaded.delta);
		updateFreshness();
	}

	function reportRefused(version: number, error: unknown): void {
		if (!(error instanceof LayerError)) {
			throw error;
		}

		options.onRefused?.(version, error);
	}

	async function poll(): Promise<void> {
		const pollStartedAt = performance.now();
		try {
			const head = await loader.readHead();
			// The table may have read the row right after the request was sent, so age counts from that moment.
			observeHead(head?.record.version ?? 0, performance.now() - pollStartedAt);
			if (head !== undefined && head.record.version > held.version) {
				await loadFromStore(head.record);
			}

			schedule.succeeded();
		} catch (error) {
			schedule.failed();
			reportRefused(headTracker.newest().version, error);
		} finally {
			// Also when the store is unreachable: a peer that rejoins after a partition must learn which versions it missed.
			announceTo(peers().nearby);
			announceTo(pickDistantPeer());
			polling = undefined;
		}
	}

	/** A daemon that has just started queries random peers one at a time instead of waiting for their next announcement. */
	function requestFromRandomPeer(): void {
		const {nearby, distant} = peers();
		const candidates = [...nearby, ...distant];
		if (candidates.length > 0) {
			requestedAt = performance.now();
			requestFrom(candidates[Math.floor(random() * candidates.length)]);
		}
	}

	function requestFrom(name: string): void {
		send(name, {case: 'configurationRequest', value: create(ConfigurationRequestSchema, {heldVersion: BigInt(held.version)})});
	}

	function tick(): void {
		const now = performance.now();
		if (headTracker.newest().ageMs === Infinity && now - requestedAt > pollMs) {
			requestFromRandomPeer();
		}

		// The queried peer did not answer in time: load from the store instead.
		const unanswered = headTracker.newest().version > held.version && now - requestedAt > pollMs * 2;
		if (polling === undefined && schedule.isDue(headTracker.newest().ageMs, unanswered)) {
			polling = poll();
		}
	}

	const handlers: PeerHandlers = {
		configurationHead(origin, head) {
			const before = headTracker.newest();
			const version = Number(head.version);
			observeHead(version, decodeAge(head.ageMs));
			if (version > held.version && performance.now() - requestedAt > pollMs) {
				requestedAt = performance.now();
				requestFrom(origin.name);
			}

			const after = headTracker.newest();
			const isFresher = after.version > before.version || before.ageMs - after.ageMs > minRelayGainMs;
			const {nearby} = peers();
			if (isFresher && !nearby.includes(origin.name)) {
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
			receivePart(part);
		},
	};

	function receivePart(part: ConfigurationSections): void {
		try {
			const assembled = assembly.add(part, held);
			if (assembled === undefined) {
				return;
			}

			activate(assembled.version, assembled.set, assembled.fromVersion, assembled.delta);
			// Sections are no proof of freshness, since they may have been queued for long; only observed heads count.
			updateFreshness();
		} catch (error) {
			reportRefused(Number(part.version), error);
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

			// After a partition heals, heartbeats from a majority may arrive before the versions that this daemon missed.
			const {heard, listed, newestVersion = 0} = options.reach();
			const isNewest = Math.max(headTracker.newest().version, newestVersion) === held.version;
			return isNewest && heard * 2 > listed;
		},
		async refresh() {
			await polling;
			polling ??= poll();
			await polling;
		},
		held: () => held.version === 0 ? undefined : held,
		adopt(version, set) {
			activate(version, set, 0, fullDelta(set));
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
