/**
 * Decides when a request leaves its data centre. Bytes between data centres are expensive on some
 * deployments, and callers gain nothing from a first event that comes well before their target latency.
 *
 * - A request stays where it is expected to be answered well within its target latency, after a short wait.
 * - Otherwise it leaves if that saves more time than its transfer is worth. The worth of the transfer falls
 *   to zero as the expected time in the own data centre approaches the target latency.
 * - If it would be late everywhere, it leaves only for a much earlier answer.
 * - While requests wait long on average in the own data centre, distance counts as delay only, until the
 *   waits are clearly shorter again. Requests thus don't alternate between data centres.
 * - Callers of other data centres may fill only a part of an endpoint's slots and memory, those of lower
 *   ranks a smaller one. The rest is kept for its own callers.
 *
 * Designed for 650 daemons that decide on loads up to 500 ms old.
 */

/** What the rule needs to know of a request. */
export type DistanceNeed = {
	/** Requests with the same name share the state of pressure. */
	service: string;
	/** Target latency. */
	targetMs: number;
	/** Milliseconds left of the target latency; 0 or less if it has passed. */
	leftMs: number;
	/** 0 is the most urgent. */
	rank: number;
	/** Bytes of the request and of the expected response. */
	bytes: number;
};

/** Estimates for the best known endpoint of the own data centre, or of the others. */
export type DistanceEstimate = {
	/** Expected milliseconds to the first event. */
	expectedMs: number;
	/** Part of `expectedMs` that the request waits for others. */
	waitMs: number;
	/** The same on average over the endpoints there. */
	meanWaitMs: number;
};

/** Why a request leaves its data centre: its own one has no eligible endpoint, is under pressure, would answer late, or much later. */
export type LeaveReason = 'none_eligible' | 'pressure' | 'late' | 'slower';

/** The rule, with the state of pressure of the own data centre by service and target latency. */
export type DistanceRule = {
	/** Whether the request stays without a look at other data centres. Begins or ends pressure. */
	stays: (need: DistanceNeed, own: DistanceEstimate, canBegin: boolean) => boolean;
	/** Whether the own data centre is under pressure, so that distance counts as delay only. */
	isPressed: (need: DistanceNeed) => boolean;
	/** Whether an endpoint of another data centre, of which this fraction is in use, may be taken by the request. */
	mayUse: (need: DistanceNeed, usedRatio: number) => boolean;
	/** The reason to leave, or `undefined` to stay. */
	reasonToLeave: (need: DistanceNeed, own: DistanceEstimate, other: DistanceEstimate) => LeaveReason | undefined;
};

/** Fraction of the target latency up to which an expected time is well within it. */
const stayRatio = 0.5;
/** Fraction of the target latency that a request may wait in its data centre. */
const maxWaitRatio = 0.2;
/** Fractions of the target latency that requests wait on average, at which pressure begins and ends. */
const pressureBeginsRatio = 0.2;
const pressureEndsRatio = 0.1;
/** Bounds the target latency in these comparisons, since an engine's requests wait for each other, and those of another route may have a shorter one. */
const maxComparedMs = 800;
/** Fraction of the target latency from which on it is in danger; estimates err by some tens of percent. */
const lateRatio = 0.7;
/** Milliseconds of expected wait that a kilobyte between data centres is worth. */
const msPerKilobyte = 10;
const kilobyte = 1000;
/** A request that would be late everywhere leaves if it is answered in this fraction of the time. */
const muchEarlierRatio = 0.8;
/**
 * Fraction of an endpoint's slots and memory that callers from other data centres may fill, for the highest rank
 * and the others. Requests begin to wait for memory above 0.85.
 */
const maxUsedRatioOfHighest = 0.85;
const maxUsedRatio = 0.7;

/**
 * Expected wait, at least the mean of the endpoints. The best known one may only seem so because
 * requests of other daemons are not yet known here, and daemons can't tell that from an idle one.
 */
const likelyWaitMs = ({waitMs, meanWaitMs}: DistanceEstimate): number => Math.max(waitMs, meanWaitMs);
const likelyMs = (estimate: DistanceEstimate): number => estimate.expectedMs - estimate.waitMs + likelyWaitMs(estimate);

/** Creates the rule, without pressure. */
export function createDistanceRule(): DistanceRule {
	/** Services and target latencies under pressure. */
	const pressed = new Set<string>();

	const keyOf = ({service, targetMs}: DistanceNeed): string => `${service} ${targetMs}`;

	const updatePressure = (need: DistanceNeed, meanWaitMs: number, comparedMs: number): boolean => {
		const key = keyOf(need);
		const isPressed = meanWaitMs > comparedMs * (pressed.has(key) ? pressureEndsRatio : pressureBeginsRatio);
		if (isPressed) {
			pressed.add(key);
		} else {
			pressed.delete(key);
		}

		return isPressed;
	};

	return {
		stays(need, own, canBegin) {
			const comparedMs = Math.min(maxComparedMs, need.targetMs);
			return !updatePressure(need, own.meanWaitMs, comparedMs) && canBegin && likelyMs(own) <= need.leftMs * stayRatio && likelyWaitMs(own) <= comparedMs * maxWaitRatio;
		},
		isPressed: need => pressed.has(keyOf(need)),
		mayUse: ({rank}, usedRatio) => usedRatio <= (rank === 0 ? maxUsedRatioOfHighest : maxUsedRatio),
		reasonToLeave(need, own, other) {
			const ownMs = likelyMs(own);
			const otherMs = likelyMs(other);
			const lateMs = need.leftMs * lateRatio;
			if (ownMs >= lateMs) {
				return otherMs < Math.max(lateMs, ownMs * muchEarlierRatio) ? 'late' : undefined;
			}

			const transferMs = need.bytes / kilobyte * msPerKilobyte * (lateMs - ownMs) / lateMs;
			return otherMs + transferMs < ownMs ? 'slower' : undefined;
		},
	};
}
