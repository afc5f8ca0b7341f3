/** Sends wishes (`ShareWish`: what a holder has, returns and wants of one workspace) to the issuers. */
import {create} from '@bufbuild/protobuf';
import {ShareWishSchema} from '../../gen/hickorywalk/v1/limits_pb.js';
import {emptyCapacity, type HeldShare, prepareWish} from './held-share.js';
import {type LimiterSettings, type WorkspaceLimit} from './limiter-settings.js';
import {type Outbox} from './outbox.js';
import {isStale} from './wish-schedule.js';

/** The issuer of a shard as far as this daemon knows. */
export type KnownIssuer = {generation: number; issuer: string};

/** Options of {@link createWishSender}. */
export type WishSenderOptions = {
	settings: LimiterSettings;
	outbox: Outbox;
	limitOf: (workspace: string) => WorkspaceLimit | undefined;
	/** Issuer of a shard, and the generation that wishes to it must carry. */
	issuerOf: (shard: number) => KnownIssuer | undefined;
};

/**
 * - `wish`: requires an answer.
 * - `quiet`: only returns a part of the share; requires no answer.
 * - `report`: tells a new issuer what is held; requires an answer.
 */
export type WishKind = 'wish' | 'quiet' | 'report';

/** The sender. */
export type WishSender = {
	send: (share: HeldShare, now: number, kind?: WishKind) => void;
	/** Returns empty capacity to the issuer. */
	trim: (share: HeldShare, now: number) => void;
	/** Sequence number of the last wish, over all workspaces. */
	lastSequence: () => number;
};

/** Creates a sender. */
export function createWishSender({settings, outbox, limitOf, issuerOf}: WishSenderOptions): WishSender {
	// Counted over all workspaces: a share that was deleted must not start again below its last sequence number.
	let sequence = 0;

	const send = (share: HeldShare, now: number, kind: WishKind = 'wish'): void => {
		const issuer = issuerOf(share.shard);
		if (!issuer) {
			return;
		}

		share.sentAt = now;
		share.sends += 1;
		const {lastWish} = share;
		if (share.outstanding && !isStale(share, settings, now) && lastWish?.generation === issuer.generation) {
			// Repeated unchanged: an answer in flight stays valid, and a lost one is sent again.
			outbox.wish(issuer.issuer, lastWish);
			return;
		}

		const figures = prepareWish(share, settings, now, kind === 'report');
		sequence += 1;
		share.sequence = sequence;
		share.sends = 1;
		share.wishedAt = now;
		share.outstanding = kind !== 'quiet';
		share.needsWish = false;
		share.lastWish = create(ShareWishSchema, {
			workspace: share.workspace, generation: issuer.generation, sequence: share.sequence, applied: share.applied, ...figures, quiet: kind === 'quiet',
		});
		outbox.wish(issuer.issuer, share.lastWish);
	};

	return {
		send,
		/**
		 * Empty capacity held here keeps the issuer's reserve from growing, so it is
		 * returned soon. If the message is lost, the next wish carries the same state.
		 */
		trim(share, now) {
			const whole = limitOf(share.workspace)?.burstTokens ?? 0;
			if (!share.outstanding && share.waiters.length === 0 && share.level.tokens >= 0 && emptyCapacity(share) > whole * settings.trimShare) {
				send(share, now, 'quiet');
			}
		},
		lastSequence: () => sequence,
	};
}
