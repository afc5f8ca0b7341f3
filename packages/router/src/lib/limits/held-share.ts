/** The share that a daemon holds of one workspace's limit, and the requests that wait for it. */
import {type ShareWish} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type LimiterSettings} from './limiter-settings.js';
import {emptyLevel, refill, type TokenLevel} from './token-level.js';

/** A request that waits for tokens. */
export type Waiter = {
	tokens: number;
	/** Latest time for a grant. */
	deadline: number;
	/** Time at which the request is refused unless an answer changes it; never after the deadline. */
	refuseAt: number;
	/** Ends the wait: grants the request, or refuses it if `retryAfterMs` is given. */
	finish: (retryAfterMs?: number) => void;
};

/** A share and its state. Times are milliseconds of `performance.now()`. */
export type HeldShare = {
	workspace: string;
	shard: number;
	level: TokenLevel;
	/** The share may be used only before this time. */
	leaseEnd: number;
	/** Sequence of the last wish sent. */
	sequence: number;
	/** Sequence of the last grant that was applied. */
	applied: number;
	/** When that wish was first sent: the lease of its answer counts from here. */
	wishedAt: number;
	/** When it was last sent. */
	sentAt: number;
	/** How many times it was sent. */
	sends: number;
	lastWish?: ShareWish;
	/** Whether the last wish awaits an answer. */
	outstanding: boolean;
	/** Tokens of reservations that are not settled yet. */
	reserved: number;
	/** Estimate of the fraction of a reservation that is returned unused; exceeded by few requests. */
	unusedShare: number;
	/** Moving average of the requested tokens per second. */
	demand: number;
	demandAt: number;
	/** Moving average of the tokens per request. */
	requestTokens: number;
	lastAskedAt: number;
	/** The issuer must be sent a wish soon: the share was lowered, or waiting requests were refused. */
	needsWish: boolean;
	waiters: Waiter[];
	/** Last notice of the issuer about a claim that must wait. */
	notice?: {ahead: number; rate: number; at: number};
};

// Too little room for returned tokens loses them; too much only keeps a nearly full reserve
// from growing. So the estimate starts high, rises fast and falls slowly.
const firstUnusedShare = 1;
const risingWeight = 0.5;
const fallingWeight = 0.03;

/** Creates a share that holds nothing. */
export function createHeldShare(workspace: string, shard: number, now: number): HeldShare {
	return {
		workspace,
		shard,
		level: emptyLevel(now),
		leaseEnd: Number.NEGATIVE_INFINITY,
		sequence: 0,
		applied: 0,
		wishedAt: Number.NEGATIVE_INFINITY,
		sentAt: Number.NEGATIVE_INFINITY,
		sends: 0,
		outstanding: false,
		reserved: 0,
		unusedShare: firstUnusedShare,
		demand: 0,
		requestTokens: 0,
		demandAt: now,
		lastAskedAt: Number.NEGATIVE_INFINITY,
		needsWish: false,
		waiters: [],
	};
}

const msPerSecond = 1000;
/** Time constant of the demand average in milliseconds. */
const demandWindowMs = 5000;
/** Milliseconds of growth for which a holder keeps room while a wish is in flight. */
const growthMs = 2000;
const rateHeadroom = 1.2;
const requestWeight = 0.1;
/** Minimum number of requests expected within the horizon for tokens to be prefetched. */
const minPrefetchRequests = 2;

/** Whether the share has any rate or burst. */
export function holdsAnything(share: HeldShare): boolean {
	return share.level.rate > 0 || share.level.burst > 0;
}

/** Refills the level, or empties the share if its lease has ended. */
export function updateShare(share: HeldShare, now: number): void {
	if (now >= share.leaseEnd) {
		// These tokens may have been issued to another daemon by now.
		share.level = emptyLevel(now);
		return;
	}

	refill(share.level, now);
}

/** Adds the tokens of a request to the demand. */
export function countDemand(share: HeldShare, tokens: number, now: number): void {
	decayDemand(share, now);
	share.demand += tokens * msPerSecond / demandWindowMs;
	share.requestTokens += (tokens - share.requestTokens) * (share.requestTokens === 0 ? 1 : requestWeight);
	share.lastAskedAt = now;
}

/** Settles a reservation and updates the estimate of unused tokens. */
export function countSettled(share: HeldShare, reserved: number, used: number): void {
	share.reserved -= reserved;
	const unused = reserved > 0 ? Math.max(0, reserved - used) / reserved : 0;
	share.unusedShare += (unused - share.unusedShare) * (unused > share.unusedShare ? risingWeight : fallingWeight);
}

/** Decays the demand average to the time `now`. */
export function decayDemand(share: HeldShare, now: number): void {
	share.demand *= Math.exp((share.demandAt - now) / demandWindowMs);
	share.demandAt = now;
}

/** Sum of the tokens that requests wait for. */
export function waitingTokens(share: HeldShare): number {
	let sum = 0;
	for (const waiter of share.waiters) {
		sum += waiter.tokens;
	}

	return sum;
}

/** Tokens that this holder should prefetch for its demand. */
export function targetTokens(share: HeldShare, settings: LimiterSettings, now: number): number {
	decayDemand(share, now);
	if (now >= share.lastAskedAt + settings.idleMs) {
		return 0;
	}

	const target = share.demand * settings.horizonMs / msPerSecond;
	// Tokens for fewer requests would mostly stay unused, and cost two messages each way.
	return target >= share.requestTokens * minPrefetchRequests ? target : 0;
}

/** Fields of a wish that are computed from the share. */
export type WishFigures = {
	rate: number;
	burst: number;
	returned: number;
	wantedRate: number;
	wantedTokens: number;
	claim: number;
	first: number;
};

/** Part of the burst share that is needed neither for tokens nor for those expected soon. */
export function emptyCapacity(share: HeldShare): number {
	const {level} = share;
	const expected = (level.rate * growthMs / msPerSecond) + (share.reserved * share.unusedShare);
	return Math.max(0, level.burst - Math.ceil(Math.max(0, level.tokens) + expected));
}

/**
 * Lowers the share to what it needs and returns the fields of a wish for it. The
 * empty part of the burst share is returned too, except for what growth and
 * unused reservations will soon fill: the issuer can only send tokens that fit
 * into the burst that it adds.
 */
export function prepareWish(share: HeldShare, settings: LimiterSettings, now: number, isReport = false): WishFigures {
	updateShare(share, now);
	const {level} = share;
	const waiting = waitingTokens(share);
	const idle = waiting === 0 && now >= share.lastAskedAt + settings.idleMs;
	const target = targetTokens(share, settings, now);
	const wantedRate = Math.ceil(target > 0 ? share.demand * rateHeadroom : 0);
	// A new issuer cannot take tokens back before it knows all holders.
	const surplus = isReport ? 0 : Math.floor(level.tokens - waiting - (target * 2));
	// Overuse is passed to the issuer as a debt, so that the whole workspace pays it back.
	const returned = level.tokens < 0 ? Math.floor(level.tokens) : Math.max(0, surplus);
	level.tokens -= returned;
	// Until the wish arrives, the burst recorded by the issuer must also cover the tokens in flight.
	level.burst -= Math.max(0, returned);

	if (idle) {
		level.rate = 0;
	} else if (waiting === 0 && level.rate > wantedRate * 2) {
		level.rate = wantedRate;
	}

	level.burst -= emptyCapacity(share);
	level.tokens = Math.min(level.tokens, level.burst);
	return {
		rate: level.rate,
		burst: level.burst,
		returned,
		wantedRate,
		wantedTokens: Math.ceil(Math.max(0, target - Math.max(0, level.tokens))),
		claim: Math.max(0, Math.ceil(waiting - level.tokens)),
		first: Math.max(0, Math.ceil((share.waiters[0]?.tokens ?? 0) - level.tokens)),
	};
}
