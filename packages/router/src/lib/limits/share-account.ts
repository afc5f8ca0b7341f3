/**
 * The ledger of one workspace at its issuer: who holds which part of the rate
 * and burst, and the reserve that nobody holds.
 *
 * The bound rests on this: what the ledger says of a holder is never less than
 * what that holder has, a grant that may still arrive included. So all shares
 * together, reserve included, never exceed the workspace's limit. Every level
 * stays within its burst share, therefore all levels together stay within the
 * burst and grow at most at the rate; a window of length t admits at most
 * burst + rate x t.
 */
import {type ShareGrant} from '../../gen/hickorywalk/v1/limits_pb.js';
import {emptyLevel, refill, type TokenLevel} from './token-level.js';

/** What the ledger says of one holder; never less than the holder has. */
export type Holding = {
	/** Process that holds it. */
	incarnation: bigint;
	/** Last wish that was taken in. */
	sequence: number;
	rate: number;
	burst: number;
	/** What answered that wish, to be sent again when the wish is. */
	grant?: ShareGrant;
	/** When the holder was last answered: its lease runs from before that. */
	answeredAt: number;
};

/** Tokens that a holder's requests wait for. */
export type Claim = {
	tokens: number;
	/** What the first of the waiting requests needs. */
	first: number;
	wantedRate: number;
	wantedTokens: number;
	/** Whether the wish that made the claim was answered with tokens. */
	answered: boolean;
	/** When the holder last repeated the claim. */
	at: number;
};

/** The ledger of one workspace. */
export type ShareAccount = {
	workspace: string;
	wholeRate: number;
	wholeBurst: number;
	rateOut: number;
	burstOut: number;
	/** What came back since this issuer began: free also while some holders are unknown. */
	returnedRate: number;
	returnedBurst: number;
	/** Tokens that the reserve starts with once all holders are known. */
	inherited: number;
	reserve: TokenLevel;
	holdings: Map<string, Holding>;
	/** Claims in the order in which they came. */
	claims: Map<string, Claim>;
};

/** Creates a ledger without holders. */
export function createShareAccount(workspace: string, inherited: number, now: number): ShareAccount {
	return {
		workspace,
		wholeRate: 0,
		wholeBurst: 0,
		rateOut: 0,
		burstOut: 0,
		returnedRate: 0,
		returnedBurst: 0,
		inherited,
		reserve: emptyLevel(now),
		holdings: new Map(),
		claims: new Map(),
	};
}

/** Brings the reserve up to date; `complete` when every holder is known. */
export function updateReserve(account: ShareAccount, complete: boolean, now: number): void {
	const {reserve} = account;
	refill(reserve, now);
	const freeRate = Math.max(0, account.wholeRate - account.rateOut);
	const freeBurst = Math.max(0, account.wholeBurst - account.burstOut);
	// An unknown holder may have all but what came back.
	reserve.rate = complete ? freeRate : Math.min(freeRate, account.returnedRate);
	reserve.burst = complete ? freeBurst : Math.min(freeBurst, account.returnedBurst);
	if (complete && account.wholeBurst > 0) {
		reserve.tokens += account.inherited;
		account.inherited = 0;
	}

	reserve.tokens = Math.min(reserve.burst, reserve.tokens);
}

/** Writes down what a holder has now. The caller updates the reserve. */
export function setHolding(account: ShareAccount, name: string, holding: Holding): void {
	const before = account.holdings.get(name);
	const rateChange = holding.rate - (before?.rate ?? 0);
	const burstChange = holding.burst - (before?.burst ?? 0);
	account.rateOut += rateChange;
	account.burstOut += burstChange;
	if (before) {
		account.returnedRate = Math.max(0, account.returnedRate - rateChange);
		account.returnedBurst = Math.max(0, account.returnedBurst - burstChange);
	}

	account.holdings.set(name, holding);
}

/** Takes a holder that has ended or whose lease is over off the ledger. */
export function dropHolding(account: ShareAccount, name: string): void {
	const holding = account.holdings.get(name);
	if (holding) {
		setHolding(account, name, {...holding, rate: 0, burst: 0});
		account.holdings.delete(name);
	}

	account.claims.delete(name);
}

/** What a holder is given. */
export type SizedGrant = {
	rate: number;
	burst: number;
	tokens: number;
};

/** How much goes out ahead of demand. */
export type GrantSizing = {
	prefetchShare: number;
	scarceShare: number;
	rateOutShare: number;
};

/** Sizes a grant and takes it out of the reserve and into the ledger. */
export function giveShare(account: ShareAccount, name: string, claim: Claim, sizing: GrantSizing): SizedGrant {
	const holding = account.holdings.get(name);
	if (!holding) {
		return {rate: 0, burst: 0, tokens: 0};
	}

	const {reserve} = account;
	const claimed = Math.floor(Math.max(0, Math.min(reserve.tokens, claim.tokens)));
	const left = reserve.tokens - claimed;
	const plenty = account.claims.size === 0 && left >= account.wholeBurst * sizing.scarceShare;
	const ahead = plenty ? Math.floor(Math.min(claim.wantedTokens, left * sizing.prefetchShare)) : 0;
	const spareRate = Math.min(reserve.rate, (account.wholeRate * sizing.rateOutShare) - account.rateOut) * sizing.prefetchShare;
	const rateAhead = plenty ? Math.floor(Math.min(claim.wantedRate - holding.rate, spareRate)) : 0;
	const tokens = claimed + ahead;
	reserve.tokens -= tokens;
	const given = {
		rate: holding.rate + Math.max(0, rateAhead),
		burst: holding.burst + tokens,
		tokens,
	};
	setHolding(account, name, {...holding, rate: given.rate, burst: given.burst});
	return lowered(account, given);
}

/**
 * After the limit was lowered, the shares may exceed it. The grant then names
 * less than the ledger does; the ledger follows when the holder confirms.
 */
function lowered(account: ShareAccount, given: SizedGrant): SizedGrant {
	const rateFits = account.rateOut <= account.wholeRate;
	const burstFits = account.burstOut <= account.wholeBurst;
	return {
		rate: rateFits ? given.rate : Math.floor(given.rate * account.wholeRate / account.rateOut),
		burst: burstFits ? given.burst : Math.floor(given.burst * account.wholeBurst / account.burstOut),
		tokens: given.tokens,
	};
}
