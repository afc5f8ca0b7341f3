/**
 * One daemon's copy of a workspace's bucket, and the decision whether a request passes.
 *
 * Load: callers of one workspace ask for more than its rate through many daemons at once,
 * each of which hears of the others' admissions with a delay.
 */

/** What a peer said of its use of a workspace. */
export type PeerUse = {
	incarnation: number;
	/** Units admitted since its start. */
	admitted: number;
	/** Units asked for a second. */
	demand: number;
	heardAt: number;
	/** Units counted for it since it fell silent, taken back when it is heard again. */
	assumed: number;
};

/** The copy of one bucket; times are of `performance.now()`. */
export type Bucket = {
	rate: number;
	burst: number;
	/** Units left in the fleet's bucket; below zero while overuse is paid back. */
	level: number;
	/** Units that this daemon may admit while the bucket is low. */
	own: number;
	refilledAt: number;
	/** Units admitted here since the start of the process. */
	admitted: number;
	/** Units admitted here since the last report. */
	unreported: number;
	/** When units were last asked for here, and when some were last admitted. */
	askedAt: number;
	admittedAt: number;
	/** Units asked for a second, fading. */
	demand: number;
	/** The demand that peers know, so that all work out the same parts. */
	toldDemand: number;
	peers: Map<string, PeerUse>;
	/** Another daemon's view of the level was taken over, or this one has its own. */
	isSettled: boolean;
};

/** What a bucket follows of the fleet; durations in milliseconds. */
export type BucketFleet = {
	/** Daemons that are known, including this one. */
	daemons: () => number;
	/** Silence after which a peer is assumed to go on admitting unheard. */
	silenceMs: () => number;
	/** Silence after which a peer is assumed to have stopped. */
	goneMs: () => number;
	/** Time within which admissions of a pressed workspace's other users are heard; without it, only the parts count. */
	newsMs?: () => number;
};

/** Fraction of the burst below which the bucket is low. */
export const lowRatio = 0.5;

/** Demand, as a multiple of the rate, from which a low bucket is split. Below it a daemon's part would be too short for its own peaks. */
const pressedRatio = 1.5;

/** Fraction of the burst kept back, since daemons that are pressed all at once hear of each other after a round of reports. */
const reserveRatio = 0.05;

/** Fraction of the rate that is spread evenly, so that a daemon without recent demand can admit too. */
const evenRatio = 0.3;

/** Fraction of a request that must be left while the bucket is low; the rest is a debt. Large requests would otherwise wait for many small ones. */
const downPaymentRatio = 0.5;

/** Fraction of the burst up to which a request passes while anything is left, since it costs the others next to nothing. */
const smallRatio = 0.01;

/** Time constant of the demand. */
const demandMs = 2000;

const minRetryMs = 50;

export const msPerSecond = 1000;

/** The part of the bucket that belongs to this daemon, between 0 and 1. */
function partOf(bucket: Bucket, fleet: BucketFleet): number {
	const daemons = Math.max(1, fleet.daemons());
	const even = evenRatio * bucket.rate / daemons;
	const all = bucket.toldDemand + peersDemand(bucket) + (even * daemons);
	return all <= 0 ? 1 / daemons : (bucket.toldDemand + even) / all;
}

/** Units that peers ask for a second, as they last said. */
function peersDemand({peers}: Bucket): number {
	let demand = 0;
	for (const peer of peers.values()) {
		demand += peer.demand;
	}

	return demand;
}

/** A peer that fell silent may be cut off and go on admitting its part. */
function assumeForSilent(bucket: Bucket, fleet: BucketFleet, elapsedMs: number): void {
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

/** Adds what has come in since the last call. */
export function refill(bucket: Bucket, fleet: BucketFleet, now: number): void {
	const elapsedMs = now - bucket.refilledAt;
	if (elapsedMs <= 0) {
		return;
	}

	bucket.refilledAt = now;
	bucket.level = Math.min(bucket.burst, bucket.level + (bucket.rate * elapsedMs / msPerSecond));
	assumeForSilent(bucket, fleet, elapsedMs);
	const part = partOf(bucket, fleet);
	bucket.own = Math.min(part * bucket.burst, bucket.own + (part * bucket.rate * elapsedMs / msPerSecond));
	bucket.demand *= Math.exp(-elapsedMs / demandMs);
}

/** Takes over limits that the operator changed. */
export function setLimits(bucket: Bucket, fleet: BucketFleet, {rate, burst}: Pick<Bucket, 'rate' | 'burst'>): void {
	if (bucket.rate !== rate || bucket.burst !== burst) {
		bucket.rate = rate;
		bucket.burst = burst;
		bucket.level = Math.min(bucket.level, burst);
		bucket.own = Math.min(bucket.own, burst * partOf(bucket, fleet));
	}
}

/** Counts units that were asked for here. */
export function ask(bucket: Bucket, units: number, now: number): void {
	bucket.askedAt = now;
	bucket.demand += units * msPerSecond / demandMs;
}

/** Takes units that were admitted here; negative units are given back. */
export function take(bucket: Bucket, units: number): void {
	bucket.level = Math.min(bucket.burst, bucket.level - units);
	bucket.own = Math.max(-bucket.burst, bucket.own - units);
	bucket.admitted += units;
	bucket.unreported += units;
}

/** More is asked of the fleet than comes in, so that daemons compete for the last units. */
const isPressed = (bucket: Bucket): boolean => bucket.demand + peersDemand(bucket) > bucket.rate * pressedRatio;

/** Whether a request of so many units passes. */
export function mayAdmit(bucket: Bucket, fleet: BucketFleet, units: number): boolean {
	if (bucket.level - units >= bucket.burst * lowRatio) {
		return true;
	}

	const wanted = Math.min(units, bucket.burst) * downPaymentRatio;
	const reserve = bucket.burst * reserveRatio;
	if (!isPressed(bucket)) {
		return bucket.level - reserve >= wanted;
	}

	if (bucket.level > 0 && (bucket.own >= wanted || units <= bucket.burst * smallRatio)) {
		return true;
	}

	if (fleet.newsMs === undefined) {
		return false;
	}

	// Beyond this daemon's part, only what is left after all that peers may have admitted unheard.
	const unheard = peersDemand(bucket) * fleet.newsMs() / msPerSecond;
	return bucket.level - reserve - unheard >= wanted;
}

/** Milliseconds after which the same request would pass if nothing else came. */
export function retryAfterMs(bucket: Bucket, fleet: BucketFleet, units: number): number {
	const wanted = Math.min(units, bucket.burst) * downPaymentRatio;
	const ownMs = (wanted - bucket.own) / (partOf(bucket, fleet) * bucket.rate) * msPerSecond;
	const levelMs = -bucket.level / bucket.rate * msPerSecond;
	return Math.max(minRetryMs, ownMs, levelMs);
}
