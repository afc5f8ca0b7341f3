/**
 * Enforces each workspace's rate and burst over all VMs together.
 *
 * Every daemon keeps a copy of one token bucket for the whole fleet. It refills at the
 * workspace's rate; this daemon's admissions are deducted at once, those of its peers when they
 * are reported. While the level is high, any daemon admits. While it is low, each daemon admits
 * only its share of the refill, by the demand that it has reported to its peers, so that nine
 * daemons don't each spend the last tokens. What several daemons admit at the same moment becomes
 * debt of the bucket and is repaid before more is admitted: the fleet exceeds its quota at most by
 * what is requested within one round of reports, and not again in each round.
 *
 * In a fleet larger than one round of reports, a daemon announces its first use of a workspace to
 * all peers, and its admissions while the level is low to the workspace's other users, which
 * would otherwise learn of them only when their turn in the rounds comes.
 */
import {LRUCache} from 'lru-cache';
import {type Workspace} from '../fleet/fleet-document.js';
import {type PeerReport} from '../peers/peer-report.js';
import {
	addDemand, type Bucket, type BucketFleet, lowLevelRatio, mayAdmit, msPerSecond, type PeerUse, refill, retryAfterMs, setLimits, take,
} from './bucket.js';

/** Outcome of a request for units. */
export type Admission
	= | {granted: true; refund: () => void}
	/**
	 * `retryAfterMs`: time after which the same request would be admitted if no others came.
	 * `level` and `own`: units left for the fleet, and for this daemon, in its copy of the bucket.
	 */
		| {granted: false; retryAfterMs: number; level: number; own: number};

/** Options of {@link createFleetQuota}; durations in milliseconds. */
export type FleetQuotaOptions = BucketFleet & {
	/** Whether buckets start full, since the whole fleet starts for the first time. */
	startsFull: boolean;
	/** Initial units of a bucket otherwise, since what was spent before a restart of the whole fleet is unknown. */
	startUnits: number;
	/** Called when many units were admitted since the last report. */
	onUnreported: () => void;
	/** Whether one round of reports doesn't reach all peers. */
	isBeyondRound?: () => boolean;
	/** Called when an admission should be reported to these daemons, or to all, before their turn. */
	onAnnouncement?: (users: readonly string[] | 'all') => void;
};

/** Quotas of all workspaces. */
export type FleetQuota = {
	/** Requests units for one request. */
	admit: (workspace: Workspace, units: number) => Admission;
	/** Processes a peer's report. */
	applyPeerReport: (report: PeerReport) => void;
	/** Forgets a peer that has stopped and admits nothing any more. */
	removePeer: (daemon: string) => void;
	/** This daemon's use of workspaces, for its report. */
	report: () => PeerReport['usage'];
};

/** Peers' use of a workspace that this daemon has not used. */
type RemoteUse = {peers: Map<string, PeerUse>; level: number; at: number};

type Usage = PeerReport['usage'][number];

/** Fraction of the burst that a daemon may admit before it reports at once. */
const maxUnreportedRatio = 0.2;

/** Time without use after which a workspace is omitted from reports. */
const idleMs = 20_000;

/** Minimum time between announcements to all peers, whose cost grows with the number of daemons and of workspaces. */
const minAnnounceMs = 3000;

/** Workspaces that only peers use, and peers, that are remembered at a time. */
const maxRemoteUses = 4096;
const maxIncarnations = 4096;

/** Creates the quotas of one daemon. */
export function createFleetQuota(options: FleetQuotaOptions): FleetQuota {
	const buckets = new Map<string, Bucket>();
	const remoteUses = new LRUCache<string, RemoteUse>({max: maxRemoteUses});
	/** Incarnation of each peer, by its last report. */
	const incarnations = new LRUCache<string, number>({max: maxIncarnations});
	let announcedAt = Number.NEGATIVE_INFINITY;

	/** Initial level of a bucket: what its users last reported plus the refill since, or else the configured start. */
	const openingLevel = ({name, rate, burst}: Workspace, now: number): number => {
		const known = remoteUses.get(name);
		if (known !== undefined) {
			return Math.min(burst, known.level + (rate * (now - known.at) / msPerSecond));
		}

		return options.startsFull ? burst : Math.min(burst, options.startUnits);
	};

	const openBucket = (workspace: Workspace, now: number): Bucket => {
		const {name, rate, burst} = workspace;
		const level = openingLevel(workspace, now);
		const bucket: Bucket = {
			rate,
			burst,
			level,
			localLevel: level / Math.max(1, options.daemons()),
			refilledAt: now,
			admitted: 0,
			unreported: 0,
			askedAt: Number.NEGATIVE_INFINITY,
			admittedAt: Number.NEGATIVE_INFINITY,
			demand: 0,
			reportedDemand: 0,
			peers: remoteUses.get(name)?.peers ?? new Map<string, PeerUse>(),
			isLevelKnown: options.startsFull || remoteUses.has(name),
		};
		remoteUses.delete(name);
		buckets.set(name, bucket);
		return bucket;
	};

	/** Units that a peer admitted since its last report; after a long silence, at most those that still matter to a quota window. */
	const unitsSinceLastReport = (report: PeerReport, known: PeerUse | undefined, [, admitted, demand]: Usage): number => {
		const isSameProcess = known?.incarnation === report.incarnation;
		const units = isSameProcess ? admitted - known.admitted : admitted;
		const isTracked = isSameProcess
			? performance.now() - known.heardAt <= options.goneMs()
			: incarnations.get(report.daemon) === report.incarnation;
		return isTracked ? units : Math.min(units, demand * options.goneMs() / msPerSecond);
	};

	const recordPeerUse = (bucket: Bucket, report: PeerReport, use: Usage): void => {
		const [, admitted, demand, level] = use;
		const now = performance.now();
		refill(bucket, options, now);
		const known = bucket.peers.get(report.daemon);
		if (bucket.isLevelKnown) {
			bucket.level = Math.min(bucket.burst, bucket.level + (known?.assumed ?? 0) - unitsSinceLastReport(report, known, use));
		} else {
			bucket.isLevelKnown = true;
			bucket.level = level;
		}

		bucket.peers.set(report.daemon, {
			incarnation: report.incarnation, admitted, demand, heardAt: now, assumed: 0,
		});
	};

	/** A peer omits workspaces that it has not used recently, so it admits nothing of them. */
	const clearPeerUse = (bucket: Bucket, daemon: string): void => {
		const peer = bucket.peers.get(daemon);
		if (peer !== undefined) {
			bucket.level = Math.min(bucket.burst, bucket.level + peer.assumed);
			Object.assign(peer, {demand: 0, heardAt: performance.now(), assumed: 0});
		}
	};

	const recordRemoteUse = ({daemon, incarnation}: PeerReport, [name, admitted, demand, level]: Usage): void => {
		const now = performance.now();
		const peers = remoteUses.get(name)?.peers ?? new Map<string, PeerUse>();
		peers.set(daemon, {
			incarnation, admitted, demand, heardAt: now, assumed: 0,
		});
		remoteUses.set(name, {peers, level, at: now});
	};

	/** Requests an early report of an admission that peers must account for. */
	const announce = (bucket: Bucket, isFirstUse: boolean, demandBefore: number): void => {
		if (bucket.unreported > bucket.burst * maxUnreportedRatio) {
			options.onUnreported();
		}

		if (options.isBeyondRound?.() !== true) {
			return;
		}

		// If the other users request as much, the bucket is contended although this daemon can't know it yet.
		const mayBeContended = demandBefore * (bucket.peers.size + 1) > bucket.rate;
		const now = performance.now();
		if (isFirstUse && now - announcedAt >= minAnnounceMs) {
			announcedAt = now;
			options.onAnnouncement?.('all');
		} else if (mayBeContended || bucket.level < bucket.burst * lowLevelRatio) {
			options.onAnnouncement?.([...bucket.peers.keys()]);
		}
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
			const bucket = buckets.get(workspace.name) ?? openBucket(workspace, now);
			refill(bucket, options, now);
			setLimits(bucket, options, workspace);
			const demandBefore = bucket.demand;
			addDemand(bucket, units, now);
			if (!mayAdmit(bucket, options, units)) {
				return {
					granted: false, retryAfterMs: retryAfterMs(bucket, options, units), level: bucket.level, own: bucket.localLevel,
				};
			}

			const isFirstUse = now - bucket.admittedAt > idleMs;
			bucket.admittedAt = now;
			take(bucket, units);
			announce(bucket, isFirstUse, demandBefore);
			let isRefunded = false;
			return {
				granted: true,
				refund() {
					if (!isRefunded) {
						isRefunded = true;
						take(bucket, -units);
					}
				},
			};
		},
		applyPeerReport(report) {
			const reportedWorkspaces = new Set<string>();
			for (const use of report.usage) {
				const [name] = use;
				const bucket = buckets.get(name);
				reportedWorkspaces.add(name);
				if (bucket === undefined) {
					recordRemoteUse(report, use);
				} else {
					recordPeerUse(bucket, report, use);
				}
			}

			for (const [name, bucket] of buckets) {
				if (!reportedWorkspaces.has(name)) {
					clearPeerUse(bucket, report.daemon);
				}
			}

			incarnations.set(report.daemon, report.incarnation);
		},
		removePeer(daemon) {
			incarnations.delete(daemon);
			for (const {peers} of [...buckets.values(), ...remoteUses.values()]) {
				peers.delete(daemon);
			}
		},
		report() {
			const now = performance.now();
			const usage: PeerReport['usage'] = [];
			for (const [name, bucket] of buckets) {
				if (now - bucket.askedAt > idleMs) {
					continue;
				}

				refill(bucket, options, now);
				bucket.unreported = 0;
				bucket.reportedDemand = Math.round(bucket.demand);
				usage.push([name, Math.round(bucket.admitted), bucket.reportedDemand, Math.round(bucket.level)]);
			}

			return usage;
		},
	};
}
