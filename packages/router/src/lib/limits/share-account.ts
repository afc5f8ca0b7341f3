/**
 * The account of one workspace at its issuer: which daemon holds which part of
 * the rate and burst, and the reserve that no daemon holds.
 *
 * Invariant: the account never records less for a holder than the holder has,
 * including a grant that may still arrive. So all shares together, reserve
 * included, never exceed the workspace's limit. Every level stays within its
 * burst share, so all levels together stay within the burst and grow at most at
 * the rate: a window of length t admits at most burst + rate x t.
 */
import {type ShareGrant} from '../../gen/hickorywalk/v1/limits_pb.js';
import {emptyLevel, refill, type TokenLevel} from './token-level.js';

/** Entry of one holder in the account; never less than the holder has. */
export type Holding = {
	/** Incarnation of the holding process. */
	incarnation: bigint;
	/** Sequence of the last wish that was processed. */
	sequence: number;
	rate: number;
	burst: number;
	/** Answer to that wish; sent again if the wish is repeated. */
	grant?: ShareGrant;
	/** Time of the last answer to the holder: the holder's lease began before that. */
	answeredAt: number;
};

/** Tokens that requests at a holder wait for. */
export type Claim = {
	tokens: number;
	/** Tokens that the first waiting request needs. */
	first: number;
	wantedRate: number;
	wantedTokens: number;
	/** Whether the wish behind the claim was answered with a part of the tokens. */
	answered: boolean;
	/** Time of the last repeat of the claim. */
	at: number;
};

/** The account of one workspace. `limit*` is its limit, `held*` the sum over all holders. */
export type ShareAccount = {
	workspace: string;
	limitRate: number;
	limitBurst: number;
	heldRate: number;
	heldBurst: number;
	/** Shares returned since this issuer started: free even while some holders are unknown. */
	returnedRate: number;
	returnedBurst: number;
	/** Tokens that are added to the reserve once all holders are known. */
	inherited: number;
	reserve: TokenLevel;
	holdings: Map<string, Holding>;
	/** Claims by holder, in order of arrival. */
	claims: Map<string, Claim>;
};

/** Creates an account without holders. */
export function createShareAccount(workspace: string, inherited: number, now: number): ShareAccount {
	return {
		workspace,
		limitRate: 0,
		limitBurst: 0,
		heldRate: 0,
		heldBurst: 0,
		returnedRate: 0,
		returnedBurst: 0,
		inherited,
		reserve: emptyLevel(now),
		holdings: new Map(),
		claims: new Map(),
	};
}

/** Refills the reserve and recomputes its rate and burst; `complete` if every holder is known. */
export function updateReserve(account: ShareAccount, complete: boolean, now: number): void {
	const {reserve} = account;
	refill(reserve, now);
	const freeRate = Math.max(0, account.limitRate - account.heldRate);
	const freeBurst = Math.max(0, account.limitBurst - account.heldBurst);
	// An unknown holder may have everything except what was returned.
	reserve.rate = complete ? freeRate : Math.min(freeRate, account.returnedRate);
	reserve.burst = complete ? freeBurst : Math.min(freeBurst, account.returnedBurst);
	if (complete && account.limitBurst > 0) {
		reserve.tokens += account.inherited;
		account.inherited = 0;
	}

	reserve.tokens = Math.min(reserve.burst, reserve.tokens);
}

/** Records what a holder has now. The caller must update the reserve. */
export function setHolding(account: ShareAccount, name: string, holding: Holding): void {
	const before = account.holdings.get(name);
	const rateChange = holding.rate - (before?.rate ?? 0);
	const burstChange = holding.burst - (before?.burst ?? 0);
	account.heldRate += rateChange;
	account.heldBurst += burstChange;
	if (before) {
		account.returnedRate = Math.max(0, account.returnedRate - rateChange);
		account.returnedBurst = Math.max(0, account.returnedBurst - burstChange);
	}

	account.holdings.set(name, holding);
}

/** Removes a holder that has ended or whose lease has ended. */
export function dropHolding(account: ShareAccount, name: string): void {
	const holding = account.holdings.get(name);
	if (holding) {
		setHolding(account, name, {...holding, rate: 0, burst: 0});
		account.holdings.delete(name);
	}

	account.claims.delete(name);
}

/** New rate and burst share of a holder in total, and the tokens added to its level. */
export type SizedGrant = {
	rate: number;
	burst: number;
	tokens: number;
};

/** Settings that bound how much is prefetched. */
export type GrantSizing = {
	prefetchShare: number;
	scarceShare: number;
	rateOutShare: number;
};

/** Sizes a grant, takes it from the reserve and records it. */
export function grantShare(account: ShareAccount, name: string, claim: Claim, sizing: GrantSizing): SizedGrant {
	const holding = account.holdings.get(name);
	if (!holding) {
		return {rate: 0, burst: 0, tokens: 0};
	}

	const {reserve} = account;
	const claimed = Math.floor(Math.max(0, Math.min(reserve.tokens, claim.tokens)));
	const left = reserve.tokens - claimed;
	const mayPrefetch = account.claims.size === 0 && left >= account.limitBurst * sizing.scarceShare;
	const ahead = mayPrefetch ? Math.floor(Math.min(claim.wantedTokens, left * sizing.prefetchShare)) : 0;
	const spareRate = Math.min(reserve.rate, (account.limitRate * sizing.rateOutShare) - account.heldRate) * sizing.prefetchShare;
	const rateAhead = mayPrefetch ? Math.floor(Math.min(claim.wantedRate - holding.rate, spareRate)) : 0;
	const tokens = claimed + ahead;
	reserve.tokens -= tokens;
	const given = {
		rate: holding.rate + Math.max(0, rateAhead),
		burst: holding.burst + tokens,
		tokens,
	};
	setHolding(account, name, {...holding, rate: given.rate, burst: given.burst});
	return fitToLimit(account, given);
}

/**
 * After a limit was lowered, the held shares may exceed it. The grant is then
 * less than the account records; the account follows once the holder confirms.
 */
function fitToLimit(account: ShareAccount, given: SizedGrant): SizedGrant {
	const rateFits = account.heldRate <= account.limitRate;
	const burstFits = account.heldBurst <= account.limitBurst;
	return {
		rate: rateFits ? given.rate : Math.floor(given.rate * account.limitRate / account.heldRate),
		burst: burstFits ? given.burst : Math.floor(given.burst * account.limitBurst / account.heldBurst),
		tokens: given.tokens,
	};
}
