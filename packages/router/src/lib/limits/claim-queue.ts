/**
 * FIFO queue of the claims that an issuer's reserve cannot cover yet. A claim is
 * answered as soon as the tokens have accrued; a notice tells the holder when
 * that is expected.
 */
import {create} from '@bufbuild/protobuf';
import {ShareNoticeSchema} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type LimiterSettings} from './limiter-settings.js';
import {type Outbox} from './outbox.js';
import {type Claim, type ShareAccount} from './share-account.js';
import {msUntil} from './token-level.js';

/** Options of {@link createClaimQueue}, given by the issuer. */
export type ClaimQueueOptions = {
	generation: number;
	settings: LimiterSettings;
	outbox: Outbox;
	/** Brings the reserve up to date. */
	refresh: (account: ShareAccount) => void;
	/** Grants the tokens that the reserve has for the claim. */
	answer: (account: ShareAccount, name: string, claim: Claim) => void;
	isComplete: () => boolean;
	mayIssue: () => boolean;
	/** Runs the callback of a timer. */
	run: (callback: () => void) => void;
};

/** The claims on the workspaces of one issuer. */
export type ClaimQueue = {
	/** Adds a claim, or updates it without moving it, and serves the queue. */
	place: (account: ShareAccount, name: string, claim: Claim) => void;
	/** Serves claims in order; stops at the first that the reserve cannot cover. */
	serve: (account: ShareAccount) => void;
	/** Sends a holder the notice of when its claim is expected to be met; sends nothing while holders are unknown. */
	notify: (account: ShareAccount, name: string) => void;
	notifyAll: (account: ShareAccount) => void;
	stop: () => void;
};

/** Largest value of the field `ahead` of a notice, an sint32. */
const maxNoticeAhead = 2_147_483_647;

/** Multiple of `resendMs` without a repeat after which a claim counts as given up. */
const claimExpiryResends = 4;

/** Creates an empty queue. */
export function createClaimQueue(options: ClaimQueueOptions): ClaimQueue {
	const {settings, outbox, generation, refresh, answer, isComplete, mayIssue} = options;
	const timers = new Map<string, NodeJS.Timeout>();

	/** Sets a timer for when the reserve covers the claim at the front. */
	function arm(account: ShareAccount, tokens: number): void {
		clearTimeout(timers.get(account.workspace));
		const wait = msUntil(account.reserve, tokens);
		if (Number.isFinite(wait)) {
			timers.set(account.workspace, setTimeout(() => {
				options.run(() => {
					if (mayIssue()) {
						refresh(account);
						serve(account);
					}
				});
			}, Math.max(1, Math.ceil(wait))));
		}
	}

	/** Serves claims in order; stops at the first that the reserve cannot cover. */
	function serve(account: ShareAccount): void {
		for (const [name, claim] of account.claims) {
			if (performance.now() > claim.at + (settings.resendMs * claimExpiryResends)) {
				// The holder repeats a claim while it needs it, so no request waits for these tokens any more.
				account.claims.delete(name);
				continue;
			}

			if (claim.answered) {
				continue;
			}

			const needed = Math.min(claim.first, claim.tokens);
			if (account.reserve.tokens < needed) {
				arm(account, needed);
				return;
			}

			const given = Math.min(Math.floor(account.reserve.tokens), claim.tokens);
			if (given >= claim.tokens) {
				account.claims.delete(name);
				answer(account, name, claim);
			} else {
				answer(account, name, claim);
				// The rest keeps its place until the next wish of the holder.
				claim.tokens -= given;
				claim.answered = true;
			}
		}
	}

	function notify(account: ShareAccount, name: string): void {
		let ahead = -account.reserve.tokens;
		for (const [other, claim] of account.claims) {
			if (other === name) {
				break;
			}

			ahead += claim.tokens;
		}

		const holding = account.holdings.get(name);
		if (holding && isComplete()) {
			outbox.notice(name, holding.incarnation, create(ShareNoticeSchema, {
				workspace: account.workspace,
				generation,
				sequence: holding.sequence,
				ahead: Math.ceil(Math.max(-maxNoticeAhead, Math.min(maxNoticeAhead, ahead))),
				rate: Math.floor(account.reserve.rate),
			}));
		}
	}

	function notifyAll(account: ShareAccount): void {
		for (const [name, claim] of account.claims) {
			if (!claim.answered) {
				notify(account, name);
			}
		}
	}

	function place(account: ShareAccount, name: string, claim: Claim): void {
		const existing = account.claims.get(name);
		if (existing) {
			Object.assign(existing, claim);
		} else {
			account.claims.set(name, claim);
		}

		serve(account);
		if (account.claims.get(name)?.answered === false) {
			notify(account, name);
		}
	}

	return {
		place,
		serve,
		notify,
		notifyAll,
		stop() {
			for (const timer of timers.values()) {
				clearTimeout(timer);
			}
		},
	};
}
