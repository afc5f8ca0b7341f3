/**
 * One daemon's copy of a workspace's token bucket, and the admission of requests from it.
 *
 * Made for a workspace whose callers exceed its rate through many daemons at once, each of which
 * learns of the others' admissions with a delay.
 */

/** A peer's use of a workspace, by its last report. */
export type PeerUse = {
	incarnation: number;
	/** Units admitted since its start. */
	admitted: number;
	/** Units requested per second. */
	demand: number;
	heardAt: number;
	/** Units deducted on its behalf since it fell silent; returned when its reports resume. */
	assumed: number;
};

/** Copy of a workspace's bucket; times are `performance.now()`. */
export type Bucket = {
	rate: number;
	burst: number;
	/** Units left for the fleet; negative while overuse is repaid. */
	level: number;
	/** Units that this daemon may admit while the level is low. */
	localLevel: number;
	refilledAt: number;
	/** Units admitted here since the start of the process. */
	admitted: number;
	/** Units admitted here since the last report. */
	unreported: number;
	/** When units were last requested here, and when some were last admitted. */
	askedAt: number;
	admittedAt: number;
	/** Units requested here per second; decays exponentially. */
	demand: number;
	/** Demand as last reported to peers, so that all daemons compute the same shares. */
	reportedDemand: number;
	peers: Map<string, PeerUse>;
	/** Whether the level was taken from a peer's report, or this daemon has its own. */
	isLevelKnown: boolean;
};

/** Properties of the fleet that buckets depend on; durations in milliseconds. */
export type BucketFleet = {
	/** Number of known daemons, including this one. */
	daemons: () => number;
	/** Number of daemons among them whose reports don't arrive at all, so that their use is unknown; 0 by default. */
	unheard?: () => number;
	/** Silence after which a peer is assumed to keep admitting although its reports don't arrive. */
	silenceMs: () => number;
	/** Silence after which a peer is assumed to have stopped. */
	goneMs: () => number;
	/** Time within which reports of other daemons' admissions from a contended bucket arrive; if absent, daemons keep to their shares. */
	reportDelayMs?: () => number;
};

/** Fraction of the burst below which the level is low. */
export const lowLevelRatio = 0.5;

/** Demand, as a multiple of the rate, above which a low bucket is split into shares. Below it, a daemon's share couldn't cover its own peaks. */
const contendedRatio = 1.5;

/** Fraction of the burst held in reserve, since daemons that come under load all at once learn of each other only after a round of reports. */
const reserveRatio = 0.05;

/** Fraction of the rate that is shared evenly, so that a daemon without recent demand can admit too. */
const evenShareRatio = 0.3;

/** Fraction of a request's units that must be available while the level is low; the rest becomes debt. Otherwise large requests would wait for many small ones. */
const minAvailableRatio = 0.5;

/** Fraction of the burst up to which a request is admitted while any units are left, since it costs the other daemons almost nothing. */
const smallRequestRatio = 0.01;

/** Time constant of the decay of demand. */
const demandDecayMs = 2000;

const minRetryMs = 50;

export const msPerSecond = 1000;

const isAnyUnheard = (fleet: BucketFleet): boolean => (fleet.unheard?.() ?? 0) > 0;

/** This daemon's share of the bucket, between 0 and 1. */
function shareOf(bucket: Bucket, fleet: BucketFleet): number {
	const daemons = Math.max(1, fleet.daemons());
	if (isAnyUnheard(fleet)) {
		return 1 / daemons;
	}

	const even = evenShareRatio * bucket.rate / daemons;
	const all = bucket.reportedDemand + peersDemand(bucket) + (even * daemons);
	return all <= 0 ? 1 / daemons : (bucket.reportedDemand + even) / all;
}

/** Units requested from peers per second, by their last reports. */
function peersDemand({peers}: Bucket): number {
	let demand = 0;
	for (const peer of peers.values()) {
		demand += peer.demand;
	}

	return demand;
}

/** Deducts units on behalf of silent peers, which may be partitioned and keep admitting their shares. */
function assumeSilentUse(bucket: Bucket, fleet: BucketFleet, elapsedMs: number): void {
	const [silenceMs, goneMs] = [fleet.silenceMs(), fleet.goneMs()];
	for (const peer of bucket.peers.values()) {
		const silentMs = bucket.refilledAt - peer.heardAt;
		if (silentMs > goneMs) {
			peer.demand = 0;
		} else if (silentMs > silenceMs) {
			const units = Math.min(peer.demand, bucket.rate) * elapsedMs / msPerSecond;
			peer.assumed += units;
			bucket.level -= units;
		}
	}
}

/** Adds the units accrued since the last call. */
export function refill(bucket: Bucket, fleet: BucketFleet, now: number): void {
	const elapsedMs = now - bucket.refilledAt;
	if (elapsedMs <= 0) {
		return;
	}

	bucket.refilledAt = now;
	bucket.level = Math.min(bucket.burst, bucket.level + (bucket.rate * elapsedMs / msPerSecond));
	assumeSilentUse(bucket, fleet, elapsedMs);
	const share = shareOf(bucket, fleet);
	bucket.localLevel = Math.min(share * bucket.burst, bucket.localLevel + (share * bucket.rate * elapsedMs / msPerSecond));
	bucket.demand *= Math.exp(-elapsedMs / demandDecayMs);
}

/** Applies limits that the operator changed. */
export function setLimits(bucket: Bucket, fleet: BucketFleet, {rate, burst}: Pick<Bucket, 'rate' | 'burst'>): void {
	if (bucket.rate !== rate || bucket.burst !== burst) {
		bucket.rate = rate;
		bucket.burst = burst;
		bucket.level = Math.min(bucket.level, burst);
		bucket.localLevel = Math.min(bucket.localLevel, burst * shareOf(bucket, fleet));
	}
}

/** Adds requested units to the demand. */
export function addDemand(bucket: Bucket, units: number, now: number): void {
	bucket.askedAt = now;
	bucket.demand += units * msPerSecond / demandDecayMs;
}

/** Deducts units that were admitted here; negative units are returned. */
export function take(bucket: Bucket, units: number): void {
	bucket.level = Math.min(bucket.burst, bucket.level - units);
	bucket.localLevel = Math.max(-bucket.burst, bucket.localLevel - units);
	bucket.admitted += units;
	bucket.unreported += units;
}

/** Whether demand exceeds the rate by so much that daemons compete for the last units. */
const isContended = (bucket: Bucket): boolean => bucket.demand + peersDemand(bucket) > bucket.rate * contendedRatio;

/** Whether a request of this many units is admitted. */
export function mayAdmit(bucket: Bucket, fleet: BucketFleet, units: number): boolean {
	if (isAnyUnheard(fleet)) {
		// The level doesn't tell what they have admitted.
		return bucket.level > 0 && bucket.localLevel >= Math.min(units, bucket.burst) * minAvailableRatio;
	}

	if (bucket.level - units >= bucket.burst * lowLevelRatio) {
		return true;
	}

	const required = Math.min(units, bucket.burst) * minAvailableRatio;
	const reserve = bucket.burst * reserveRatio;
	if (!isContended(bucket)) {
		return bucket.level - reserve >= required;
	}

	if (bucket.level > 0 && (bucket.localLevel >= required || units <= bucket.burst * smallRequestRatio)) {
		return true;
	}

	if (fleet.reportDelayMs === undefined) {
		return false;
	}

	// Beyond its share, a daemon uses only what is left after all that peers may have admitted since their last reports.
	const unreportedUnits = peersDemand(bucket) * fleet.reportDelayMs() / msPerSecond;
	return bucket.level - reserve - unreportedUnits >= required;
}

/** Milliseconds after which the same request would be admitted if no others came. */
export function retryAfterMs(bucket: Bucket, fleet: BucketFleet, units: number): number {
	const required = Math.min(units, bucket.burst) * minAvailableRatio;
	const ownMs = (required - bucket.localLevel) / (shareOf(bucket, fleet) * bucket.rate) * msPerSecond;
	const levelMs = -bucket.level / bucket.rate * msPerSecond;
	return Math.max(minRetryMs, ownMs, levelMs);
}
