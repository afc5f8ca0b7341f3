/**
 * Chooses the peer that passes on a request. Each daemon uses a few peers, which rendezvous hashing
 * spreads over the fleet, so that no peer is chosen by many daemons that lose their paths together.
 */
import {LRUCache} from 'lru-cache';
import {orderedBy} from '../routing/rendezvous.js';

/** A peer that may pass on requests. */
export type RelayPeer = {
	name: string;
	/** IP:PORT at which it accepts requests of daemons. */
	address: string;
	dataCentre: string;
};

/** Options of {@link createRelayPeers}. */
export type RelayPeersOptions = {
	name: string;
	dataCentre: string;
	/** Peers that are not silent. */
	peers: () => readonly RelayPeer[];
};

/** Peers of one daemon. */
export type RelayPeers = {
	/** The best peer for an endpoint that isn't among the `tried` ones; `undefined` if there is none. */
	choose: (endpointId: string, tried: ReadonlySet<string>) => RelayPeer | undefined;
	/** The gatekeeper of an endpoint, or who steps in for those that were `tried`; `undefined` if it is this daemon. */
	gatekeeper: (endpointId: string, tried: ReadonlySet<string>) => RelayPeer | undefined;
	/** Peers to ask whether an endpoint accepts connections, each in another data centre where possible. */
	witnesses: (endpointId: string, count: number) => RelayPeer[];
	/** Those of these peers that are not silent. */
	named: (names: readonly string[]) => RelayPeer[];
	/** Counts a request that the peer passes on; the returned function ends it. */
	started: (peer: string) => () => void;
	/** The peer could not be reached, or passes on nothing now. */
	failed: (peer: string) => void;
	/** The peer has no path to this endpoint. */
	hasNoPath: (peer: string, endpointId: string) => void;
};

/** Number of peers among which the least busy one is chosen. */
const choiceCount = 2;

/** Time in milliseconds for which a peer without a path is avoided. */
const avoidMs = 1000;

/** How suitable a peer is for an endpoint; lower ones are chosen first. */
const suitable = 0;
/** It had no path to another endpoint. */
const dubious = 1;
/** It had no path to this endpoint, or passed on nothing at all. */
const unsuitable = 2;

/** Time for which the order of the peers is cached. */
const orderTtlMs = 500;

const maxMarks = 4096;

/** Daemons that may guard one endpoint, if those before them have no path to it. */
const maxGatekeepers = 8;

/** Creates the record of one daemon. */
export function createRelayPeers({name, dataCentre, peers}: RelayPeersOptions): RelayPeers {
	const inFlight = new Map<string, number>();
	const gatekeepers = new LRUCache<string, {names: readonly string[]; orderedAt: number}>({max: maxMarks});
	const createMarks = () => new LRUCache<string, true>({
		max: maxMarks, ttl: avoidMs, ttlResolution: 0, perf: performance,
	});
	const failedPeers = createMarks();
	const dubiousPeers = createMarks();
	/** Pairs of peer and endpoint. */
	const withoutPath = createMarks();
	let order: readonly RelayPeer[] = [];
	let orderedAt = Number.NEGATIVE_INFINITY;

	const sorted = (key: string): RelayPeer[] => {
		const byName = new Map(peers().map(peer => [peer.name, peer]));
		return orderedBy(key, [...byName.keys()]).map(peerName => byName.get(peerName)!);
	};

	/** Peers of the own data centre come first: the way through them is the shortest. */
	const ordered = (): readonly RelayPeer[] => {
		const now = performance.now();
		if (now - orderedAt >= orderTtlMs) {
			const all = sorted(`relay ${name}`);
			order = [...all.filter(peer => peer.dataCentre === dataCentre), ...all.filter(peer => peer.dataCentre !== dataCentre)];
			orderedAt = now;
		}

		return order;
	};

	/** All daemons, in the order in which they guard an endpoint; the same on every daemon. */
	const gatekeepersOf = (endpointId: string): readonly string[] => {
		const now = performance.now();
		const known = gatekeepers.get(endpointId);
		if (known !== undefined && now - known.orderedAt < orderTtlMs) {
			return known.names;
		}

		const names = orderedBy(`gatekeeper ${endpointId}`, [name, ...peers().map(peer => peer.name)]).slice(0, maxGatekeepers);
		gatekeepers.set(endpointId, {names, orderedAt: now});
		return names;
	};

	const pairKey = (peer: string, endpointId: string): string => `${peer} ${endpointId}`;

	const gradeOf = (peer: string, endpointId: string): number => {
		if (failedPeers.has(peer) || withoutPath.has(pairKey(peer, endpointId))) {
			return unsuitable;
		}

		return dubiousPeers.has(peer) ? dubious : suitable;
	};

	return {
		choose(endpointId, tried) {
			const best: RelayPeer[] = [];
			let bestGrade = Number.POSITIVE_INFINITY;
			for (const peer of ordered()) {
				const grade = tried.has(peer.name) ? Number.POSITIVE_INFINITY : gradeOf(peer.name, endpointId);
				if (grade < bestGrade) {
					bestGrade = grade;
					best.length = 0;
				}

				if (grade === bestGrade && grade < Number.POSITIVE_INFINITY && best.length < choiceCount) {
					best.push(peer);
				}

				if (bestGrade === suitable && best.length === choiceCount) {
					break;
				}
			}

			const [least] = best.toSorted((a, b) => (inFlight.get(a.name) ?? 0) - (inFlight.get(b.name) ?? 0));
			return least;
		},
		gatekeeper(endpointId, tried) {
			for (const candidate of gatekeepersOf(endpointId)) {
				if (candidate === name) {
					return undefined;
				}

				if (!tried.has(candidate) && gradeOf(candidate, endpointId) < unsuitable) {
					return peers().find(peer => peer.name === candidate);
				}
			}

			return undefined;
		},
		witnesses(endpointId, count) {
			const all = sorted(`witness ${endpointId}`);
			const seen = new Set([dataCentre]);
			const distinct = all.filter(peer => !seen.has(peer.dataCentre) && seen.add(peer.dataCentre));
			return [...distinct, ...all.filter(peer => !distinct.includes(peer))].slice(0, count);
		},
		named: names => peers().filter(peer => names.includes(peer.name)),
		started(peer) {
			inFlight.set(peer, (inFlight.get(peer) ?? 0) + 1);
			return () => {
				const left = inFlight.get(peer)! - 1;
				if (left === 0) {
					inFlight.delete(peer);
				} else {
					inFlight.set(peer, left);
				}
			};
		},
		failed(peer) {
			failedPeers.set(peer, true);
		},
		hasNoPath(peer, endpointId) {
			dubiousPeers.set(peer, true);
			withoutPath.set(pairKey(peer, endpointId), true);
		},
	};
}
