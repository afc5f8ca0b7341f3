/**
 * Keeps each workspace inside its rate and burst over all VMs together.
 *
 * Every daemon keeps a copy of one bucket for the whole fleet: it grows at the
 * workspace's rate, and falls by what this daemon admits at once and by what
 * the others say they have admitted. While plenty is left, whoever is asked
 * admits. When it runs low, each daemon admits only its part of what comes in,
 * by the demand that it has told its peers, so that nine daemons don't each
 * spend the last tokens. What several admit at the same moment is a debt of the
 * bucket, paid back before more is admitted: the fleet is over its quota by
 * what is asked within one round of reports at most, not each round again.
 *
 * In a fleet larger than one round of reports, a daemon's first use of a workspace is
 * announced to all, and what it admits while the bucket is low to the workspace's other
 * users, who would else learn of it only when their turn comes.
 */
import {type Workspace} from '../fleet/fleet-document.js';
import {type PeerReport} from '../peers/peer-report.js';

/** What came of asking. */
export type Admission
	= | {granted: true; refund: () => void}
	/**
	 * `retryAfterMs`: when the same request would pass if nothing else came.
	 * `level` and `own`: units left for the fleet, and for this daemon, as it saw them.
	 */
		| {granted: false; retryAfterMs: number; level: number; own: number};

/** Options of {@link createFleetQuota}; durations in milliseconds. */
export type FleetQuotaOptions = {
	/** Buckets start full: the whole fleet starts for the first time. */
	startsFull: boolean;
	/**
	 * Units that a bucket starts with otherwise: what was spent before a restart
	 * of the whole fleet is not known, and so much may be spent too much.
	 */
	startUnits: number;
	/** Called when much was admitted since the last report. */
	onUnreported: () => void;
	/** Time within which what the users of a pressed workspace admit is heard here; without it, the parts alone count. */
	newsMs?: () => number;
	/** Whether one round of reports doesn't reach all peers. */
	isBeyondRound?: () => boolean;
	/** Called when these daemons, or all, should hear of an admission before their turn. */
	onShared?: (users: readonly string[] | 'all') => void;
	/** Daemons that are known, this one included. */
	daemons: () => number;
	/** Silence after which a peer is thought to go on admitting unheard. */
	silenceMs: () => number;
	/** Silence after which a peer is thought to admit nothing any more: it has stopped. */
	goneMs: () => number;
};

/** The quotas of all workspaces. */
export type FleetQuota = {
	/** Takes units for one request. */
	admit: (workspace: Workspace, units: number) => Admission;
	/** A peer said what it has admitted. */
	heard: (report: PeerReport) => void;
	/** A peer stops: it admits nothing any more. */
	left: (daemon: string) => void;
	/** This daemon's own part of the report. */
	report: () => PeerReport['usage'];
};

type PeerUse = {
	incarnation: number;
	admitted: number;
	demand: number;
	heardAt: number;
	/** Units counted for it since it fell silent, taken back when it is heard again. */
	assumed: number;
};

/** What peers have said of a workspace that this daemon has not used. */
type ForeignUse = {peers: Map<string, PeerUse>; level: number; at: number};

type Bucket = {
	rate: number;
	burst: number;
	/** Units left in the fleet's bucket; below zero while overuse is paid back. */
	level: number;
	/** Units that this daemon may admit while the bucket is low. */
	own: number;
	at: number;
	admitted: number;
	/** Units admitted since the last report. */
	unreported: number;
	/** `performance.now()` when units were last asked for here. */
	usedAt: number;
	/** Units asked for a second, fading. */
	demand: number;
	/** The demand that peers know, so that all work out the same parts. */
	toldDemand: number;
	peers: Map<string, PeerUse>;
	/** Another daemon's view of the level was taken over, or this one has its own. */
	isSettled: boolean;
};

/** Part of the burst below which the bucket counts as low. At a twentieth-second round of reports, all daemons together ask for less than this in one round at several times the rate. */
const lowShare = 0.5;

/**
 * Demand against the rate from which a low bucket is split. Below it the fleet
 * can spend no more than a tenth of a second's rate too much between two
 * reports, while the part of one daemon alone would be short: with 0.8 a
 * workspace that used 55% of its rate was refused 4% of its requests.
 */
const pressedShare = 1.5;

/**
 * Part of the burst that one daemon admits before it tells its peers at once.
 * At fifteen times the rate on nine daemons, which spend three times the burst
 * between two rounds of reports, the fleet was 5% over what a window allows
 * without it.
 */
const unreportedShare = 0.2;

/** Part of the burst kept back below it: when many daemons are pressed all at once, none knows of it for one round of reports. */
const calmReserve = 0.05;

/** Time constant of the demand, in milliseconds: a few rounds of reports. */
const demandMs = 2000;

/** Part of the rate that is spread evenly, so that a daemon without recent demand can admit too. */
const evenShare = 0.3;

/** Part of a request that must be there when the bucket is low; the rest is a debt of this daemon. Large requests would else wait for many small ones. */
const downPayment = 0.5;

/** Part of the burst up to which a request passes while anything is left: it costs the others next to nothing. */
const smallShare = 0.01;

/** Time without use after which a workspace is left out of reports. */
const idleMs = 20_000;

const shortestRetryMs = 50;
const msPerSecond = 1000;

/** Opens quotas. */
export function createFleetQuota(options: FleetQuotaOptions): FleetQuota {
	const buckets = new Map<string, Bucket>();
	const foreign = new Map<string, ForeignUse>();
	/** Process of each peer whose reports were heard. */
	const incarnations = new Map<string, number>();

	/** Units of a bucket that this daemon opens: what its users last said is left, or else what it starts with. */
	const openingLevel = ({name, rate, burst}: Workspace, now: number): number => {
		const known = foreign.get(name);
		return Math.min(burst, known === undefined
			? (options.startsFull ? burst : options.startUnits)
			: known.level + (rate * (now - known.at) / msPerSecond));
	};

	const bucketOf = (workspace: Workspace, now: number): Bucket => {
		const {name, rate, burst} = workspace;
		let bucket = buckets.get(name);
		if (bucket === undefined) {
			const level = openingLevel(workspace, now);
			bucket = {
				rate,
				burst,
				level,
				own: level / Math.max(1, options.daemons()),
				at: now,
				admitted: 0,
				unreported: 0,
				usedAt: Number.NEGATIVE_INFINITY,
				demand: 0,
				toldDemand: 0,
				peers: foreign.get(name)?.peers ?? new Map<string, PeerUse>(),
				isSettled: options.startsFull || foreign.has(name),
			};
			foreign.delete(name);
			buckets.set(name, bucket);
		}

		return bucket;
	};

	const partOf = (bucket: Bucket): number => {
		const daemons = Math.max(1, options.daemons());
		const even = evenShare * bucket.rate / daemons;
		let all = bucket.toldDemand + (even * daemons);
		for (const peer of bucket.peers.values()) {
			all += peer.demand;
		}

		return all <= 0 ? 1 / daemons : (bucket.toldDemand + even) / all;
	};

	/** A peer that fell silent may be cut off and still admit its part. */
	const assumeForSilent = (bucket: Bucket, elapsedMs: number, now: number): void => {
		const [silenceMs, goneMs] = [options.silenceMs(), options.goneMs()];
		for (const [daemon, peer] of bucket.peers) {
			const silentMs = now - peer.heardAt;
			if (silentMs > goneMs) {
				bucket.peers.delete(daemon);
			} else if (silentMs > silenceMs) {
				const units = Math.min(peer.demand, bucket.rate) * elapsedMs / msPerSecond;
				peer.assumed += units;
				bucket.level -= units;
			}
		}
	};

	const refill = (bucket: Bucket, now: number): void => {
		const elapsedMs = now - bucket.at;
		if (elapsedMs <= 0) {
			return;
		}

		bucket.at = now;
		bucket.level = Math.min(bucket.burst, bucket.level + (bucket.rate * elapsedMs / msPerSecond));
		assumeForSilent(bucket, elapsedMs, now);
		const part = partOf(bucket);
		bucket.own = Math.min(part * bucket.burst, bucket.own + (part * bucket.rate * elapsedMs / msPerSecond));
		bucket.demand *= Math.exp(-elapsedMs / demandMs);
	};

	const takeLimits = (bucket: Bucket, {rate, burst}: Workspace): void => {
		if (bucket.rate !== rate || bucket.burst !== burst) {
			bucket.rate = rate;
			bucket.burst = burst;
			bucket.level = Math.min(bucket.level, burst);
			bucket.own = Math.min(bucket.own, burst * partOf(bucket));
		}
	};

	/** Units that a peer admitted since it was last heard of, or as many as it can have admitted within a window. */
	const unheardUnits = (report: PeerReport, known: PeerUse | undefined, admitted: number, demand: number): number => {
		if (known?.incarnation === report.incarnation) {
			return admitted - known.admitted;
		}

		const isKnownProcess = incarnations.get(report.daemon) === report.incarnation;
		return isKnownProcess ? admitted : Math.min(admitted, demand * options.goneMs() / msPerSecond);
	};

	/** A peer leaves out what it has not used of late, and so admits nothing of it. */
	const heardNothingOf = (bucket: Bucket, daemon: string, now: number): void => {
		const peer = bucket.peers.get(daemon);
		if (peer !== undefined) {
			bucket.level = Math.min(bucket.burst, bucket.level + peer.assumed);
			Object.assign(peer, {demand: 0, heardAt: now, assumed: 0});
		}
	};

	const heardForeign = (report: PeerReport, [name, admitted, demand, level]: PeerReport['usage'][number], now: number): void => {
		const known = foreign.get(name) ?? {peers: new Map<string, PeerUse>(), level, at: now};
		known.level = level;
		known.at = now;
		known.peers.set(report.daemon, {
			incarnation: report.incarnation, admitted, demand, heardAt: now, assumed: 0,
		});
		foreign.set(name, known);
	};

	/** Lets peers know of an admission that their own admissions must count with. */
	const share = (bucket: Bucket, isFirstUse: boolean, demandBefore: number): void => {
		if (bucket.unreported > bucket.burst * unreportedShare) {
			options.onUnreported();
		}

		if (options.isBeyondRound?.() !== true) {
			return;
		}

		if (isFirstUse) {
			options.onShared?.('all');
		} else if (bucket.level < bucket.burst * lowShare || demandBefore * (bucket.peers.size + 1) > bucket.rate) {
			options.onShared?.([...bucket.peers.keys()]);
		}
	};

	/** Units that peers ask for a second, as they last said. */
	const peersDemand = (bucket: Bucket): number => {
		let demand = 0;
		for (const peer of bucket.peers.values()) {
			demand += peer.demand;
		}

		return demand;
	};

	/** More is asked of the fleet than comes in, so that the last units are fought over. */
	const isPressed = (bucket: Bucket): boolean => bucket.demand + peersDemand(bucket) > bucket.rate * pressedShare;

	/** Units that are left for sure: peers may have admitted others since they were heard. */
	const certainLevel = (bucket: Bucket): number =>
		bucket.level - (bucket.burst * calmReserve) - (peersDemand(bucket) * (options.newsMs?.() ?? 0) / msPerSecond);

	const mayAdmit = (bucket: Bucket, units: number): boolean => {
		if (bucket.level - units >= bucket.burst * lowShare) {
			return true;
		}

		const wanted = Math.min(units, bucket.burst) * downPayment;
		if (!isPressed(bucket)) {
			return bucket.level - (bucket.burst * calmReserve) >= wanted;
		}

		if (bucket.level > 0 && (bucket.own >= wanted || units <= bucket.burst * smallShare)) {
			return true;
		}

		return options.newsMs !== undefined && certainLevel(bucket) >= wanted;
	};

	const retryAfter = (bucket: Bucket, units: number): number => {
		const wanted = Math.min(units, bucket.burst) * downPayment;
		const ownMs = (wanted - bucket.own) / (partOf(bucket) * bucket.rate) * msPerSecond;
		const levelMs = -bucket.level / bucket.rate * msPerSecond;
		return Math.max(shortestRetryMs, ownMs, levelMs);
	};

	return {
		admit(workspace, units) {
			if (workspace.rate <= 0) {
				return {
					granted: true, refund() {
					// Nothing was taken.
					},
				};
			}

			const now = performance.now();
			const bucket = bucketOf(workspace, now);
			refill(bucket, now);
			takeLimits(bucket, workspace);
			const demandBefore = bucket.demand;
			bucket.demand += units * msPerSecond / demandMs;
			if (!mayAdmit(bucket, units)) {
				return {
					granted: false, retryAfterMs: retryAfter(bucket, units), level: bucket.level, own: bucket.own,
				};
			}

			const take = (taken: number): void => {
				bucket.level = Math.min(bucket.burst, bucket.level - taken);
				bucket.own = Math.max(-bucket.burst, bucket.own - taken);
				bucket.admitted += taken;
				bucket.unreported += taken;
			};

			const isFirstUse = now - bucket.usedAt > idleMs;
			bucket.usedAt = now;
			take(units);
			share(bucket, isFirstUse, demandBefore);
			let isRefunded = false;
			return {
				granted: true,
				refund() {
					if (!isRefunded) {
						isRefunded = true;
						take(-units);
					}
				},
			};
		},
		heard(report) {
			const now = performance.now();
			const told = new Set<string>();
			for (const use of report.usage) {
				const [name, admitted, demand, level] = use;
				told.add(name);
				const bucket = buckets.get(name);
				if (bucket === undefined) {
					heardForeign(report, use, now);
					continue;
				}

				refill(bucket, now);
				const known = bucket.peers.get(report.daemon);
				if (bucket.isSettled) {
					const unheard = unheardUnits(report, known, admitted, demand);
					bucket.level = Math.min(bucket.burst, bucket.level + (known?.assumed ?? 0) - unheard);
				} else {
					bucket.isSettled = true;
					bucket.level = level;
				}

				bucket.peers.set(report.daemon, {
					incarnation: report.incarnation, admitted, demand, heardAt: now, assumed: 0,
				});
			}

			for (const [name, bucket] of buckets) {
				if (!told.has(name)) {
					heardNothingOf(bucket, report.daemon, now);
				}
			}

			incarnations.set(report.daemon, report.incarnation);
		},
		left(daemon) {
			incarnations.delete(daemon);
			for (const {peers} of [...buckets.values(), ...foreign.values()]) {
				peers.delete(daemon);
			}
		},
		report() {
			const now = performance.now();
			const usage: PeerReport['usage'] = [];
			for (const [name, bucket] of buckets) {
				if (now - bucket.usedAt > idleMs) {
					continue;
				}

				refill(bucket, now);
				bucket.unreported = 0;
				bucket.toldDemand = Math.round(bucket.demand);
				usage.push([name, Math.round(bucket.admitted), bucket.toldDemand, Math.round(bucket.level)]);
			}

			return usage;
		},
	};
}
