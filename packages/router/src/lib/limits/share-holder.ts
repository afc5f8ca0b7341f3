/**
 * Holds shares of workspaces' limits and admits requests from them.
 *
 * Each workspace has at most one wish in flight. A wish states exactly what is
 * held and gives up every grant to earlier wishes that has not arrived, so a
 * lost, duplicated or late message costs at most the tokens it carried.
 */
import {create} from '@bufbuild/protobuf';
import {type ShareGrant, type ShareNotice, ShardReportSchema} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type Reservation, type ReservationResult} from '../serving/ports.js';
import {
	countDemand, countSettled, createHeldShare, type HeldShare, holdsAnything, updateShare, waitingTokens,
} from './held-share.js';
import {shardOf} from './shard-map.js';
import {createQueueTimers} from './queue-timers.js';
import {isDue, isRemovable} from './wish-schedule.js';
import {createWishSender, type WishSenderOptions} from './wish-sender.js';
import {
	expectedWaitMs, refuseExpired, reevaluateQueue, grantFromQueue,
} from './wait-queue.js';

/** Options of {@link createShareHolder}. */
export type ShareHolderOptions = WishSenderOptions & {
	/** Runs the callback of a timer. */
	run: (callback: () => void) => void;
};

/** Holder of the shares of one daemon. */
export type ShareHolder = {
	reserve: (workspace: string, tokens: number, longestWaitMs: number) => Promise<ReservationResult>;
	applyGrant: (grant: ShareGrant) => void;
	applyNotice: (notice: ShareNotice) => void;
	/** Reports everything held of a shard to its issuer. */
	report: (shard: number) => void;
	/** Sends the wishes that are due. */
	tick: () => void;
	/** Returns all shares to their issuers; nothing is admitted from then on. */
	returnAll: () => void;
	/** Whether nothing is held and the issuers have confirmed it. */
	isEmpty: () => boolean;
	/** Refuses all waiting requests. */
	close: () => void;
};

const msPerSecond = 1000;
const unknownRetryMs = 1000;
/** Milliseconds between two checks of shares without waiting requests. */
const scanMs = 500;

/** Creates a holder without shares. */
export function createShareHolder(options: ShareHolderOptions): ShareHolder {
	const {settings, outbox, limitOf, issuerOf} = options;
	const shares = new Map<string, HeldShare>();
	const reportedAt = new Map<number, {generation: number; at: number}>();
	const wishes = createWishSender(options);
	const timers = createQueueTimers({run: options.run, onDue: processQueue});
	let scannedAt = Number.NEGATIVE_INFINITY;
	let closed = false;

	function shareOf(workspace: string): HeldShare {
		let share = shares.get(workspace);
		if (!share) {
			share = createHeldShare(workspace, shardOf(workspace, settings.shards), performance.now());
			// An earlier share of this workspace may have been deleted. All its grants have been handled
			// and their tokens may be spent, so the issuer must not credit them as unapplied.
			share.applied = wishes.lastSequence();
			shares.set(workspace, share);
		}

		return share;
	}

	function processQueue(share: HeldShare): void {
		const now = performance.now();
		grantFromQueue(share, now);
		const before = share.waiters.length;
		refuseExpired(share, now);
		share.needsWish ||= share.waiters.length < before;
		timers.arm(share, now);
	}

	function createReservation(share: HeldShare, tokens: number): Reservation {
		let settled = false;
		return {
			tokens,
			settle(usedTokens) {
				if (settled) {
					return;
				}

				settled = true;
				countSettled(share, tokens, usedTokens);
				takeBack(share, tokens - usedTokens);
			},
		};
	}

	/** Credits unused tokens up to the burst share; overuse is paid back by the share's growth. */
	function takeBack(share: HeldShare, unused: number): void {
		const now = performance.now();
		updateShare(share, now);
		if (now >= share.leaseEnd && unused > 0) {
			return;
		}

		share.level.tokens = Math.min(share.level.burst, share.level.tokens + unused);
		processQueue(share);
	}

	function refuseUnmeetable(share: HeldShare, now: number): void {
		const before = share.waiters.length;
		reevaluateQueue(share, settings, now);
		share.needsWish ||= share.waiters.length < before;
	}

	async function enqueue(share: HeldShare, tokens: number, longestWaitMs: number, now: number): Promise<ReservationResult> {
		return new Promise(resolve => {
			const deadline = now + longestWaitMs;
			share.waiters.push({
				tokens,
				deadline,
				refuseAt: Math.min(deadline, now + settings.askTimeoutMs),
				finish(retryAfterMs) {
					share.reserved += retryAfterMs === undefined ? tokens : 0;
					resolve(retryAfterMs === undefined
						? {granted: true, reservation: createReservation(share, tokens)}
						: {granted: false, retryAfterMs: finiteRetry(share, tokens, retryAfterMs)});
				},
			});
			if (share.notice && now > share.notice.at + settings.resendMs) {
				share.notice = undefined;
			}

			refuseUnmeetable(share, now);
			if (!share.outstanding && isDue(share, settings, now)) {
				wishes.send(share, now);
			}

			timers.arm(share, now);
		});
	}

	function finiteRetry(share: HeldShare, tokens: number, retryAfterMs: number): number {
		if (Number.isFinite(retryAfterMs)) {
			return Math.ceil(retryAfterMs);
		}

		const rate = limitOf(share.workspace)?.tokensPerSecond;
		return rate ? Math.ceil(Math.max(1, tokens - Math.max(0, share.level.tokens)) / rate * msPerSecond) : unknownRetryMs;
	}

	function isCurrent(share: HeldShare | undefined, answer: {generation: number; sequence: number}): share is HeldShare {
		return share !== undefined
			&& share.outstanding
			&& answer.sequence === share.sequence
			&& answer.generation === issuerOf(share.shard)?.generation;
	}

	return {
		async reserve(workspace, tokens, longestWaitMs) {
			const limit = limitOf(workspace);
			if (closed || !limit) {
				return {granted: false, retryAfterMs: unknownRetryMs};
			}

			if (tokens > limit.burstTokens) {
				// It can never be granted, however long the caller waits.
				return {granted: false, retryAfterMs: Number.POSITIVE_INFINITY};
			}

			const now = performance.now();
			const share = shareOf(workspace);
			updateShare(share, now);
			countDemand(share, tokens, now);
			if (share.waiters.length === 0 && share.level.tokens >= tokens) {
				share.level.tokens -= tokens;
				share.reserved += tokens;
				return {granted: true, reservation: createReservation(share, tokens)};
			}

			if (longestWaitMs <= 0) {
				const wait = expectedWaitMs(share, waitingTokens(share) + tokens, now);
				return {granted: false, retryAfterMs: finiteRetry(share, tokens, wait)};
			}

			return enqueue(share, tokens, longestWaitMs, now);
		},
		applyGrant(grant) {
			const share = shares.get(grant.workspace);
			if (!isCurrent(share, grant)) {
				return;
			}

			const now = performance.now();
			updateShare(share, now);
			share.outstanding = false;
			share.applied = grant.sequence;
			share.notice = undefined;
			// The issuer counts the lease of this share from after the wish was sent.
			share.leaseEnd = share.wishedAt + settings.leaseMs - settings.marginMs;
			const {level} = share;
			share.needsWish ||= grant.rate < level.rate || grant.burst < level.burst;
			level.rate = grant.rate;
			level.burst = grant.burst;
			level.tokens = Math.min(level.burst, level.tokens + grant.tokens);
			level.at = now;
			processQueue(share);
			if (isDue(share, settings, now) && share.waiters.length > 0) {
				wishes.send(share, now);
			}

			wishes.trim(share, now);
		},
		applyNotice(notice) {
			const share = shares.get(notice.workspace);
			if (!isCurrent(share, notice)) {
				return;
			}

			const now = performance.now();
			updateShare(share, now);
			share.notice = {ahead: notice.ahead, rate: notice.rate, at: now};
			refuseUnmeetable(share, now);
			timers.arm(share, now);
		},
		report(shard) {
			const issuer = issuerOf(shard);
			if (!issuer) {
				return;
			}

			const now = performance.now();
			const last = reportedAt.get(shard);
			if (last?.generation === issuer.generation && now < last.at + settings.resendMs) {
				return;
			}

			reportedAt.set(shard, {generation: issuer.generation, at: now});
			for (const share of shares.values()) {
				if (share.shard === shard && (holdsAnything(share) || share.waiters.length > 0)) {
					wishes.send(share, now, 'report');
				}
			}

			outbox.report(issuer.issuer, create(ShardReportSchema, {shard, generation: issuer.generation}));
		},
		tick() {
			const now = performance.now();
			const isScan = now >= scannedAt + scanMs;
			scannedAt = isScan ? now : scannedAt;
			for (const share of shares.values()) {
				// There may be a thousand shares, most of them idle: only those with work are checked at every tick.
				if (!isScan && share.waiters.length === 0 && !share.needsWish) {
					continue;
				}

				updateShare(share, now);
				if (isDue(share, settings, now)) {
					wishes.send(share, now);
				}

				wishes.trim(share, now);
				if (isRemovable(share, settings, now)) {
					shares.delete(share.workspace);
				}
			}
		},
		returnAll() {
			closed = true;
			const now = performance.now();
			for (const share of shares.values()) {
				share.lastAskedAt = Number.NEGATIVE_INFINITY;
				refuseAll(share);
				if (holdsAnything(share)) {
					wishes.send(share, now);
				}
			}
		},
		isEmpty() {
			for (const share of shares.values()) {
				if (holdsAnything(share) || share.outstanding) {
					return false;
				}
			}

			return true;
		},
		close() {
			closed = true;
			for (const share of shares.values()) {
				refuseAll(share);
			}

			timers.clear();
		},
	};

	function refuseAll(share: HeldShare): void {
		for (const waiter of share.waiters) {
			waiter.finish(unknownRetryMs);
		}

		share.waiters = [];
	}
}
