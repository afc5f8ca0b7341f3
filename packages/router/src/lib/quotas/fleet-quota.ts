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
import {
	ask, type Bucket, type BucketFleet, lowRatio, mayAdmit, msPerSecond, type PeerUse, refill, retryAfterMs, setLimits, take,
} from './bucket.js';

/** What came of asking. */
export type Admission
	= | {granted: true; refund: () => void}
	/**
	 * `retryAfterMs`: when the same request would pass if nothing else came.
	 * `level` and `own`: units left for the fleet, and for this daemon, as it saw them.
	 */
		| {granted: false; retryAfterMs: number; level: number; own: number};

/** Options of {@link createFleetQuota}; durations in milliseconds. */
export type FleetQuotaOptions = BucketFleet & {
	/** Buckets start full: the whole fleet starts for the first time. */
	startsFull: boolean;
	/** Units that a bucket starts with otherwise, since what was spent before a restart of the whole fleet is unknown. */
	startUnits: number;
	/** Called when much was admitted since the last report. */
	onUnreported: () => void;
	/** Whether one round of reports doesn't reach all peers. */
	isBeyondRound?: () => boolean;
	/** Called when these daemons, or all, should hear of an admission before their turn. */
	onShared?: (users: readonly string[] | 'all') => void;
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

/** What peers have said of a workspace that this daemon has not used. */
type ForeignUse = {peers: Map<string, PeerUse>; level: number; at: number};

type Usage = PeerReport['usage'][number];

/** Fraction of the burst that one daemon admits before it tells its peers at once. */
const maxUnreportedRatio = 0.2;

/** Time without use after which a workspace is left out of reports. */
const idleMs = 20_000;

/** Minimum time between two announcements to all, whose cost grows with the fleet and with its workspaces. */
const minAnnounceMs = 3000;

/** Creates the quotas of one daemon. */
export function createFleetQuota(options: FleetQuotaOptions): FleetQuota {
	const buckets = new Map<string, Bucket>();
	const foreign = new Map<string, ForeignUse>();
	/** Process of each peer whose reports were heard. */
	const incarnations = new Map<string, number>();
	let announcedAt = Number.NEGATIVE_INFINITY;

	/** Units of a bucket that this daemon opens: what its users last said is left, or else what it starts with. */
	const openingLevel = ({name, rate, burst}: Workspace, now: number): number => {
		const known = foreign.get(name);
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
			own: level / Math.max(1, options.daemons()),
			refilledAt: now,
			admitted: 0,
			unreported: 0,
			askedAt: Number.NEGATIVE_INFINITY,
			admittedAt: Number.NEGATIVE_INFINITY,
			demand: 0,
			toldDemand: 0,
			peers: foreign.get(name)?.peers ?? new Map<string, PeerUse>(),
			isSettled: options.startsFull || foreign.has(name),
		};
		foreign.delete(name);
		buckets.set(name, bucket);
		return bucket;
	};

	/** Units that a peer admitted since it was last heard; of a longer silence only as many as matter to a window. */
	const unheardUnits = (report: PeerReport, known: PeerUse | undefined, [, admitted, demand]: Usage): number => {
		const isSameProcess = known?.incarnation === report.incarnation;
		const units = isSameProcess ? admitted - known.admitted : admitted;
		const isFollowed = isSameProcess
			? performance.now() - known.heardAt <= options.goneMs()
			: incarnations.get(report.daemon) === report.incarnation;
		return isFollowed ? units : Math.min(units, demand * options.goneMs() / msPerSecond);
	};

	const heardUse = (bucket: Bucket, report: PeerReport, use: Usage): void => {
		const [, admitted, demand, level] = use;
		const now = performance.now();
		refill(bucket, options, now);
		const known = bucket.peers.get(report.daemon);
		if (bucket.isSettled) {
			bucket.level = Math.min(bucket.burst, bucket.level + (known?.assumed ?? 0) - unheardUnits(report, known, use));
		} else {
			bucket.isSettled = true;
			bucket.level = level;
		}

		bucket.peers.set(report.daemon, {
			incarnation: report.incarnation, admitted, demand, heardAt: now, assumed: 0,
		});
	};

	/** A peer leaves out what it has not used of late, and so admits nothing of it. */
	const heardNothingOf = (bucket: Bucket, daemon: string): void => {
		const peer = bucket.peers.get(daemon);
		if (peer !== undefined) {
			bucket.level = Math.min(bucket.burst, bucket.level + peer.assumed);
			Object.assign(peer, {demand: 0, heardAt: performance.now(), assumed: 0});
		}
	};

	const heardForeign = ({daemon, incarnation}: PeerReport, [name, admitted, demand, level]: Usage): void => {
		const now = performance.now();
		const peers = foreign.get(name)?.peers ?? new Map<string, PeerUse>();
		peers.set(daemon, {
			incarnation, admitted, demand, heardAt: now, assumed: 0,
		});
		foreign.set(name, {peers, level, at: now});
	};

	/** Lets peers know of an admission that theirs must count with. */
	const announce = (bucket: Bucket, isFirstUse: boolean, demandBefore: number): void => {
		if (bucket.unreported > bucket.burst * maxUnreportedRatio) {
			options.onUnreported();
		}

		if (options.isBeyondRound?.() !== true) {
			return;
		}

		// If the other users ask for as much, the bucket is pressed though this daemon can't see it yet.
		const mayBePressed = demandBefore * (bucket.peers.size + 1) > bucket.rate;
		const now = performance.now();
		if (isFirstUse && now - announcedAt >= minAnnounceMs) {
			announcedAt = now;
			options.onShared?.('all');
		} else if (mayBePressed || bucket.level < bucket.burst * lowRatio) {
			options.onShared?.([...bucket.peers.keys()]);
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
			ask(bucket, units, now);
			if (!mayAdmit(bucket, options, units)) {
				return {
					granted: false, retryAfterMs: retryAfterMs(bucket, options, units), level: bucket.level, own: bucket.own,
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
		heard(report) {
			const told = new Set<string>();
			for (const use of report.usage) {
				const [name] = use;
				const bucket = buckets.get(name);
				told.add(name);
				if (bucket === undefined) {
					heardForeign(report, use);
				} else {
					heardUse(bucket, report, use);
				}
			}

			for (const [name, bucket] of buckets) {
				if (!told.has(name)) {
					heardNothingOf(bucket, report.daemon);
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
				if (now - bucket.askedAt > idleMs) {
					continue;
				}

				refill(bucket, options, now);
				bucket.unreported = 0;
				bucket.toldDemand = Math.round(bucket.demand);
				usage.push([name, Math.round(bucket.admitted), bucket.toldDemand, Math.round(bucket.level)]);
			}

			return usage;
		},
	};
}
