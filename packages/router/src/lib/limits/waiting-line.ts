/**
 * Requests that wait for tokens of one share, first come first served.
 *
 * A request waits only while something says that the wait will end in a grant:
 * the share's own growth, or the issuer's answer, which is awaited for a
 * bounded time. Whatever has no such prospect is refused at once, and never
 * kept until near its deadline.
 */
import {type HeldShare, updateShare, type Waiter} from './held-share.js';
import {type LimiterSettings} from './limiter-settings.js';
import {msUntil} from './token-level.js';

const msPerSecond = 1000;
const shortestRetryMs = 1;

/** Milliseconds until the share on its own has `tokens`, within its lease. */
function ownWaitMs(share: HeldShare, tokens: number, now: number): number {
	const wait = msUntil(share.level, tokens);
	return now + wait < share.leaseEnd ? wait : Number.POSITIVE_INFINITY;
}

/** Milliseconds until the issuer said that it can send `missing` tokens. */
function noticedWaitMs(share: HeldShare, missing: number, now: number): number {
	const {notice} = share;
	if (!notice || notice.rate <= 0) {
		return Number.POSITIVE_INFINITY;
	}

	return Math.max(0, notice.at + ((notice.ahead + missing) / notice.rate * msPerSecond) - now);
}

/** Milliseconds until a request of `tokens` behind all that waits now is expected to pass. */
export function expectedWaitMs(share: HeldShare, tokensInLine: number, now: number): number {
	const missing = Math.max(0, tokensInLine - share.level.tokens);
	return Math.min(ownWaitMs(share, tokensInLine, now), noticedWaitMs(share, missing, now));
}

/** Grants what the level pays for, from the front. */
export function serveLine(share: HeldShare, now: number): void {
	updateShare(share, now);
	for (;;) {
		const waiter = share.waiters.at(0);
		if (!waiter || share.level.tokens < waiter.tokens) {
			return;
		}

		share.level.tokens -= waiter.tokens;
		share.waiters.shift();
		waiter.finish();
	}
}

/** Works out anew when each waiter passes; refuses those that would miss their deadline. */
export function judgeLine(share: HeldShare, settings: LimiterSettings, now: number): void {
	let inLine = 0;
	const staying: Waiter[] = [];
	for (const waiter of share.waiters) {
		const wait = expectedWaitMs(share, inLine + waiter.tokens, now);
		if (share.notice && now + wait > waiter.deadline) {
			waiter.finish(Math.max(shortestRetryMs, wait));
			continue;
		}

		if (Number.isFinite(wait)) {
			waiter.refuseAt = Math.min(waiter.deadline, now + wait + settings.askTimeoutMs);
		}

		inLine += waiter.tokens;
		staying.push(waiter);
	}

	share.waiters = staying;
}

/** Refuses whoever's time is up. */
export function expireLine(share: HeldShare, now: number): void {
	const staying: Waiter[] = [];
	let inLine = 0;
	for (const waiter of share.waiters) {
		inLine += waiter.tokens;
		if (now >= waiter.refuseAt) {
			waiter.finish(Math.max(shortestRetryMs, expectedWaitMs(share, inLine, now)));
			continue;
		}

		staying.push(waiter);
	}

	share.waiters = staying;
}

/** When the line must be looked at again, as `performance.now()`. */
export function nextLineEvent(share: HeldShare, now: number): number {
	const [head] = share.waiters;
	let next = Number.POSITIVE_INFINITY;
	for (const waiter of share.waiters) {
		next = Math.min(next, waiter.refuseAt);
	}

	return head ? Math.min(next, now + ownWaitMs(share, head.tokens, now)) : next;
}
