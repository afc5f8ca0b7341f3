/**
 * Holds shares of workspaces' limits and admits requests from them.
 *
 * Each workspace has at most one wish under way. A wish says exactly what is
 * held and gives up every grant to earlier wishes that has not arrived, so a
 * lost, doubled or late message costs at most the tokens it carried.
 */
import {create} from '@bufbuild/protobuf';
import {type ShareGrant, type ShareNotice, ShardReportSchema} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type Reservation, type ReservationResult} from '../serving/ports.js';
import {
	countDemand, countSettled, createHeldShare, type HeldShare, holdsAnything, updateShare, waitingTokens,
} from './held-share.js';
import {shardOf} from './shard-map.js';
import {createLineTimers} from './line-timers.js';
import {isDue, isForgettable} from './wish-schedule.js';
import {createWishSender, type WishSenderOptions} from './wish-sender.js';
import {
	expectedWaitMs, expireLine, judgeLine, serveLine,
} from './waiting-line.js';

/** What {@link createShareHolder} needs. */
export type ShareHolderOptions = WishSenderOptions & {
	/** Runs what a timer called for. */
	run: (callback: () => void) => void;
};

/** The holder. */
export type ShareHolder = {
	reserve: (workspace: string, tokens: number, longestWaitMs: number) => Promise<ReservationResult>;
	applyGrant: (grant: ShareGrant) => void;
	applyNotice: (notice: ShareNotice) => void;
	/** Lists all that is held of a shard to its issuer. */
	report: (shard: number) => void;
	/** Sends the wishes that are due. */
	tick: () => void;
	/** Gives everything back; nothing is admitted from then on. */
	giveBack: () => void;
	/** Whether nothing is held, and the issuers know it. */
	isEmpty: () => boolean;
	/** Refuses all that wait. */
	close: () => void;
};

const msPerSecond = 1000;
const unknownRetryMs = 1000;
/** Milliseconds between two looks at shares that nobody waits for. */
const scanMs = 500;

/** Creates a holder without shares. */
export function createShareHolder(options: ShareHolderOptions): ShareHolder {
	const {settings, outbox, limitOf, issuerOf} = options;
	const shares = new Map<string, HeldShare>();
	const reportedAt = new Map<number, {generation: number; at: number}>();
	const wishes = createWishSender(options);
	const timers = createLineTimers({run: options.run, onDue: lookAt});
	let scannedAt = Number.NEGATIVE_INFINITY;
	let closed = false;

	function shareOf(workspace: string): HeldShare {
		let share = shares.get(workspace);
		if (!share) {
			share = createHeldShare(workspace, shardOf(workspace, settings.shards), performance.now());
			// A share of that name may have been forgotten: none of its grants is still to come, and
			// what they carried may be spent, so the issuer must not take it for unapplied.
			share.applied = wishes.lastNumber();
			shares.set(workspace, share);
		}

		return share;
	}

	function lookAt(share: HeldShare): void {
		const now = performance.now();
		serveLine(share, now);
		const before = share.waiters.length;
		expireLine(share, now);
		share.confirm ||= share.waiters.length < before;
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

	/** Unused tokens come back as far as the burst share goes; overuse is paid back by the share's growth. */
	function takeBack(share: HeldShare, unused: number): void {
		const now = performance.now();
		updateShare(share, now);
		if (now >= share.leaseEnd && unused > 0) {
			return;
		}

		share.level.tokens = Math.min(share.level.burst, share.level.tokens + unused);
		lookAt(share);
	}

	function judge(share: HeldShare, now: number): void {
		const before = share.waiters.length;
		judgeLine(share, settings, now);
		share.confirm ||= share.waiters.length < before;
	}

	async function waitInLine(share: HeldShare, tokens: number, longestWaitMs: number, now: number): Promise<ReservationResult> {
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

			judge(share, now);
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
				// It would never pass, however long the caller waits.
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

			return waitInLine(share, tokens, longestWaitMs, now);
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
			// The issuer's lease on this share runs from after the wish was sent.
			share.leaseEnd = share.wishedAt + settings.leaseMs - settings.marginMs;
			const {level} = share;
			share.confirm ||= grant.rate < level.rate || grant.burst < level.burst;
			level.rate = grant.rate;
			level.burst = grant.burst;
			level.tokens = Math.min(level.burst, level.tokens + grant.tokens);
			level.at = now;
			lookAt(share);
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
			judge(share, now);
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
				// Most of a thousand shares rest; those that wait are looked at each time.
				if (!isScan && share.waiters.length === 0 && !share.confirm) {
					continue;
				}

				updateShare(share, now);
				if (isDue(share, settings, now)) {
					wishes.send(share, now);
				}

				wishes.trim(share, now);
				if (isForgettable(share, settings, now)) {
					shares.delete(share.workspace);
				}
			}
		},
		giveBack() {
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
