/** What one daemon holds of one workspace's limit, and the requests that wait for it. */
import {type ShareWish} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type LimiterSettings} from './limiter-settings.js';
import {emptyLevel, refill, type TokenLevel} from './token-level.js';

/** A request that waits for tokens. */
export type Waiter = {
	tokens: number;
	/** Latest time of a grant. */
	deadline: number;
	/** When the request is refused unless news come; never after the deadline. */
	refuseAt: number;
	/** Ends the wait: granted, or refused with the time after which to try again. */
	finish: (retryAfterMs?: number) => void;
};

/** The share and its bookkeeping. Times are milliseconds of `performance.now()`. */
export type HeldShare = {
	workspace: string;
	shard: number;
	level: TokenLevel;
	/** The share may be used before this time only. */
	leaseEnd: number;
	/** Last wish sent. */
	sequence: number;
	/** Sequence of the last grant that was applied. */
	applied: number;
	/** When that wish first left: the lease of its answer counts from here. */
	wishedAt: number;
	/** When it was last sent. */
	sentAt: number;
	/** How often it was sent. */
	sends: number;
	lastWish?: ShareWish;
	/** Whether the last wish is unanswered. */
	outstanding: boolean;
	/** Tokens of requests that are not settled yet. */
	reserved: number;
	/** Part of their reservations that requests give back at the most, but for a few. */
	unusedShare: number;
	/** Tokens a second that requests asked for lately. */
	demand: number;
	demandAt: number;
	/** Tokens of an average request. */
	requestTokens: number;
	lastAskedAt: number;
	/** The issuer must hear of a lowered share. */
	confirm: boolean;
	waiters: Waiter[];
	/** What the issuer last said of a claim that must wait. */
	notice?: {ahead: number; rate: number; at: number};
};

// Room that is missing loses tokens, room too much only keeps a reserve from growing that is
// nearly full anyway: so the estimate starts high, rises fast and falls slowly.
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
		confirm: false,
		waiters: [],
	};
}

const msPerSecond = 1000;
/** Milliseconds over which demand is averaged. */
const demandMs = 5000;
/** Milliseconds of growth that a holder leaves itself room for while a wish is under way. */
const growthMs = 2000;
const rateHeadroom = 1.2;
const requestWeight = 0.1;
/** Requests within the horizon from which on tokens are kept ready. */
const leastRequestsAhead = 2;

/** Whether anything is held. */
export function holdsAnything(share: HeldShare): boolean {
	return share.level.rate > 0 || share.level.burst > 0;
}

/** Lets the level grow, or ends the share when its lease is over. */
export function updateShare(share: HeldShare, now: number): void {
	if (now >= share.leaseEnd) {
		// Another daemon may have these tokens by now.
		share.level = emptyLevel(now);
		return;
	}

	refill(share.level, now);
}

/** Counts tokens that a request asked for. */
export function countDemand(share: HeldShare, tokens: number, now: number): void {
	decayDemand(share, now);
	share.demand += tokens * msPerSecond / demandMs;
	share.requestTokens += (tokens - share.requestTokens) * (share.requestTokens === 0 ? 1 : requestWeight);
	share.lastAskedAt = now;
}

/** Learns from a request that ended how much of its reservation it used. */
export function countSettled(share: HeldShare, reserved: number, used: number): void {
	share.reserved -= reserved;
	const unused = reserved > 0 ? Math.max(0, reserved - used) / reserved : 0;
	share.unusedShare += (unused - share.unusedShare) * (unused > share.unusedShare ? risingWeight : fallingWeight);
}

/** Lets the average fall with time. */
export function decayDemand(share: HeldShare, now: number): void {
	share.demand *= Math.exp((share.demandAt - now) / demandMs);
	share.demandAt = now;
}

/** Tokens that requests wait for. */
export function waitingTokens(share: HeldShare): number {
	let sum = 0;
	for (const waiter of share.waiters) {
		sum += waiter.tokens;
	}

	return sum;
}

/** Tokens that this holder keeps ready for its demand. */
export function targetTokens(share: HeldShare, settings: LimiterSettings, now: number): number {
	decayDemand(share, now);
	if (now >= share.lastAskedAt + settings.idleMs) {
		return 0;
	}

	const target = share.demand * settings.horizonMs / msPerSecond;
	// Less than a few requests' worth would lie about unused, and cost two messages each way.
	return target >= share.requestTokens * leastRequestsAhead ? target : 0;
}

/** What a wish says of a share. */
export type WishFigures = {
	rate: number;
	burst: number;
	returned: number;
	wantedRate: number;
	wantedTokens: number;
	claim: number;
	first: number;
};

/** Part of the burst share that neither tokens nor what will soon come in needs. */
export function emptyCapacity(share: HeldShare): number {
	const {level} = share;
	const expected = (level.rate * growthMs / msPerSecond) + (share.reserved * share.unusedShare);
	return Math.max(0, level.burst - Math.ceil(Math.max(0, level.tokens) + expected));
}

/**
 * Lowers the share to what it needs and tells what it wants instead. The empty
 * part of the burst share goes back too, but for what growth and unused
 * reservations will soon fill: the issuer can only send tokens that fit into
 * what it adds.
 */
export function lowerAndWish(share: HeldShare, settings: LimiterSettings, now: number, isReport = false): WishFigures {
	updateShare(share, now);
	const {level} = share;
	const waiting = waitingTokens(share);
	const idle = waiting === 0 && now >= share.lastAskedAt + settings.idleMs;
	const target = targetTokens(share, settings, now);
	const wantedRate = Math.ceil(target > 0 ? share.demand * rateHeadroom : 0);
	// A new issuer has no place for tokens before it knows all holders.
	const surplus = isReport ? 0 : Math.floor(level.tokens - waiting - (target * 2));
	// Overuse goes to the issuer as a debt, so that the whole workspace pays it back.
	const returned = level.tokens < 0 ? Math.floor(level.tokens) : Math.max(0, surplus);
	level.tokens -= returned;
	// Until the wish arrives, the ledger's burst share must cover the tokens on their way too.
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
