/** When a holder sends wishes to its issuer. Times are milliseconds of `performance.now()`. */
import {
	type HeldShare, holdsAnything, targetTokens, waitingTokens,
} from './held-share.js';
import {type LimiterSettings} from './limiter-settings.js';

/** Minimum milliseconds between two wishes that only prefetch tokens. */
const prefetchMs = 500;
const maxResendMs = 5000;
/** Longest interval between repeats of a claim, in multiples of `resendMs`: the issuer drops a claim that is not repeated. */
const claimResends = 2;
const renewalsPerLease = 4;

/** Whether the last wish is out of date and must be replaced by a new one instead of repeated. */
export function isStale(share: HeldShare, settings: LimiterSettings, now: number): boolean {
	const isUnwanted = (share.lastWish?.claim ?? 0) > 0 && share.waiters.length === 0;
	const isOld = now >= share.wishedAt + (settings.leaseMs / renewalsPerLease);
	return share.needsWish || isUnwanted || isOld;
}

/** Whether a wish for this share should be sent now. */
export function isDue(share: HeldShare, settings: LimiterSettings, now: number): boolean {
	const since = now - share.sentAt;
	const waiting = share.waiters.length > 0;
	if (share.outstanding) {
		const longest = waiting ? settings.resendMs * claimResends : maxResendMs;
		return since >= Math.min(settings.resendMs * (2 ** (share.sends - 1)), longest);
	}

	if (share.needsWish) {
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

/** Whether the share has no state left and can be deleted. */
export function isRemovable(share: HeldShare, settings: LimiterSettings, now: number): boolean {
	const isQuiet = !share.outstanding && !share.needsWish && share.waiters.length === 0 && share.reserved === 0;
	return isQuiet && !holdsAnything(share) && share.level.tokens >= 0 && now >= share.lastAskedAt + settings.idleMs;
}
