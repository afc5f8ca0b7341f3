/** Sends wishes for shares to the daemons that issue them. */
import {create} from '@bufbuild/protobuf';
import {ShareWishSchema} from '../../gen/hickorywalk/v1/limits_pb.js';
import {emptyCapacity, type HeldShare, lowerAndWish} from './held-share.js';
import {type LimiterSettings, type WorkspaceLimit} from './limiter-settings.js';
import {type Outbox} from './outbox.js';
import {isStale} from './wish-schedule.js';

/** Who issues a shard's shares, as far as this daemon knows. */
export type KnownIssuer = {generation: number; issuer: string};

/** Options of {@link createWishSender}. */
export type WishSenderOptions = {
	settings: LimiterSettings;
	outbox: Outbox;
	limitOf: (workspace: string) => WorkspaceLimit | undefined;
	/** Daemon to send wishes for a shard to, with the generation to name. */
	issuerOf: (shard: number) => KnownIssuer | undefined;
};

/**
 * - `wish`: an answer is wanted.
 * - `quiet`: the issuer only takes note of what goes back.
 * - `report`: says what is held, for an issuer that has just begun.
 */
export type WishKind = 'wish' | 'quiet' | 'report';

/** The sender. */
export type WishSender = {
	send: (share: HeldShare, now: number, kind?: WishKind) => void;
	/** Gives back capacity that stands empty. */
	trim: (share: HeldShare, now: number) => void;
	/** Number of the last wish, over all workspaces. */
	lastNumber: () => number;
};

/** Creates a sender. */
export function createWishSender({settings, outbox, limitOf, issuerOf}: WishSenderOptions): WishSender {
	// Counted over all workspaces: a forgotten share must not start again below its last number.
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
			// Said again as it was: an answer under way stays good, and a lost one is repeated.
			outbox.wish(issuer.issuer, lastWish);
			return;
		}

		const figures = lowerAndWish(share, settings, now, kind === 'report');
		sequence += 1;
		share.sequence = sequence;
		share.sends = 1;
		share.wishedAt = now;
		share.outstanding = kind !== 'quiet';
		share.confirm = false;
		share.lastWish = create(ShareWishSchema, {
			workspace: share.workspace, generation: issuer.generation, sequence: share.sequence, applied: share.applied, ...figures, quiet: kind === 'quiet',
		});
		outbox.wish(issuer.issuer, share.lastWish);
	};

	return {
		send,
		/**
		 * Empty capacity here keeps the issuer's reserve from growing, so it goes
		 * back soon. Should the message be lost, the next wish says the same.
		 */
		trim(share, now) {
			const whole = limitOf(share.workspace)?.burstTokens ?? 0;
			if (!share.outstanding && share.waiters.length === 0 && share.level.tokens >= 0 && emptyCapacity(share) > whole * settings.trimShare) {
				send(share, now, 'quiet');
			}
		},
		lastNumber: () => sequence,
	};
}
