/** When a holder speaks to its issuer. All functions are pure. Times are `performance.now()`. */
import {
	type HeldShare, holdsAnything, targetTokens, waitingTokens,
} from './held-share.js';
import {type LimiterSettings} from './limiter-settings.js';

/** Milliseconds between two wishes that only gather tokens ahead of demand. */
const prefetchMs = 500;
const mostResendMs = 5000;
/** A claim is repeated at least this often, in `resendMs`: an issuer drops one that is not. */
const claimResends = 2;
const renewalsPerLease = 4;

/** Whether the last wish no longer says what matters: then a new one gives it up. */
export function isStale(share: HeldShare, settings: LimiterSettings, now: number): boolean {
	const isUnwanted = (share.lastWish?.claim ?? 0) > 0 && share.waiters.length === 0;
	const isOld = now >= share.wishedAt + (settings.leaseMs / renewalsPerLease);
	return share.confirm || isUnwanted || isOld;
}

/** Whether the issuer should hear of this share now. */
export function isDue(share: HeldShare, settings: LimiterSettings, now: number): boolean {
	const since = now - share.sentAt;
	const waiting = share.waiters.length > 0;
	if (share.outstanding) {
		const longest = waiting ? settings.resendMs * claimResends : mostResendMs;
		return since >= Math.min(settings.resendMs * (2 ** (share.sends - 1)), longest);
	}

	if (share.confirm) {
		return true;
	}

	if (waiting) {
		return waitingTokens(share) > share.level.tokens;
	}

	const target = targetTokens(share, settings, now);
	if (target > 0 && share.level.tokens < target / 2 && since >= prefetchMs) {
		return true;
	}

	if (share.level.tokens < 0) {
		return true;
	}

	const held = holdsAnything(share);
	const idle = held && now >= share.lastAskedAt + settings.idleMs;
	return idle || (held && now >= share.leaseEnd - (settings.leaseMs * (renewalsPerLease - 1) / renewalsPerLease));
}

/** Whether nothing is left to remember of the share. */
export function isForgettable(share: HeldShare, settings: LimiterSettings, now: number): boolean {
	const isQuiet = !share.outstanding && !share.confirm && share.waiters.length === 0 && share.reserved === 0;
	return isQuiet && !holdsAnything(share) && share.level.tokens >= 0 && now >= share.lastAskedAt + settings.idleMs;
}
