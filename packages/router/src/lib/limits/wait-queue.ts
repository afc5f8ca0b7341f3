/**
 * FIFO queue of the requests that wait for tokens of one share.
 *
 * A request waits only while a grant is expected, either from the share's own
 * rate or from the issuer, whose answer is awaited for a bounded time. Any other
 * request is refused at once instead of near its deadline.
 */
import {type HeldShare, updateShare, type Waiter} from './held-share.js';
import {type LimiterSettings} from './limiter-settings.js';
import {msUntil} from './token-level.js';

const msPerSecond = 1000;
const minRetryMs = 1;

/** Milliseconds until the share reaches `tokens` by its own rate; infinite if not within its lease. */
function ownWaitMs(share: HeldShare, tokens: number, now: number): number {
	const wait = msUntil(share.level, tokens);
	return now + wait < share.leaseEnd ? wait : Number.POSITIVE_INFINITY;
}

/** Milliseconds until the issuer can send `missing` tokens according to its last notice. */
function noticedWaitMs(share: HeldShare, missing: number, now: number): number {
	const {notice} = share;
	if (!notice || notice.rate <= 0) {
		return Number.POSITIVE_INFINITY;
	}

	return Math.max(0, notice.at + ((notice.ahead + missing) / notice.rate * msPerSecond) - now);
}

/** Expected milliseconds until the share has `queuedTokens`, by its own rate or from the issuer. */
export function expectedWaitMs(share: HeldShare, queuedTokens: number, now: number): number {
	const missing = Math.max(0, queuedTokens - share.level.tokens);
	return Math.min(ownWaitMs(share, queuedTokens, now), noticedWaitMs(share, missing, now));
}

/** Grants requests from the front while the level covers them. */
export function grantFromQueue(share: HeldShare, now: number): void {
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

/** Recomputes the expected wait of each waiter. Once the issuer has sent a notice, refuses waiters that would miss their deadline. */
export function reevaluateQueue(share: HeldShare, settings: LimiterSettings, now: number): void {
	let queuedTokens = 0;
	const staying: Waiter[] = [];
	for (const waiter of share.waiters) {
		const wait = expectedWaitMs(share, queuedTokens + waiter.tokens, now);
		if (share.notice && now + wait > waiter.deadline) {
			waiter.finish(Math.max(minRetryMs, wait));
			continue;
		}

		if (Number.isFinite(wait)) {
			waiter.refuseAt = Math.min(waiter.deadline, now + wait + settings.askTimeoutMs);
		}

		queuedTokens += waiter.tokens;
		staying.push(waiter);
	}

	share.waiters = staying;
}

/** Refuses the waiters whose `refuseAt` has passed. */
export function refuseExpired(share: HeldShare, now: number): void {
	const staying: Waiter[] = [];
	let queuedTokens = 0;
	for (const waiter of share.waiters) {
		queuedTokens += waiter.tokens;
		if (now >= waiter.refuseAt) {
			waiter.finish(Math.max(minRetryMs, expectedWaitMs(share, queuedTokens, now)));
			continue;
		}

		staying.push(waiter);
	}

	share.waiters = staying;
}

/** Time at which the queue must be processed next, as `performance.now()`. */
export function nextQueueEvent(share: HeldShare, now: number): number {
	const [head] = share.waiters;
	let next = Number.POSITIVE_INFINITY;
	for (const waiter of share.waiters) {
		next = Math.min(next, waiter.refuseAt);
	}

	return head ? Math.min(next, now + ownWaitMs(share, head.tokens, now)) : next;
}
