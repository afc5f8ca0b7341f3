/**
 * Claims that an issuer's reserve cannot pay yet: first come, first served, as
 * soon as the tokens are there, with word to the holder when that will be.
 */
import {create} from '@bufbuild/protobuf';
import {ShareNoticeSchema} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type LimiterSettings} from './limiter-settings.js';
import {type Outbox} from './outbox.js';
import {type Claim, type ShareAccount} from './share-account.js';
import {msUntil} from './token-level.js';

/** What {@link createClaimLine} needs of its issuer. */
export type ClaimLineOptions = {
	generation: number;
	settings: LimiterSettings;
	outbox: Outbox;
	/** Brings the reserve up to date. */
	refresh: (account: ShareAccount) => void;
	/** Grants what the reserve has towards the claim. */
	answer: (account: ShareAccount, name: string, claim: Claim) => void;
	isComplete: () => boolean;
	mayIssue: () => boolean;
	/** Runs what a timer called for. */
	run: (callback: () => void) => void;
};

/** The claims of one issuer's workspaces. */
export type ClaimLine = {
	/** Takes a claim in, or renews it in its place, and serves what can be served. */
	place: (account: ShareAccount, name: string, claim: Claim) => void;
	/** Gives to claims in their order; stops at the first that must wait on. */
	serve: (account: ShareAccount) => void;
	/** Tells a holder when its claim will be met; nothing while that is unknown. */
	notify: (account: ShareAccount, name: string) => void;
	notifyAll: (account: ShareAccount) => void;
	stop: () => void;
};

/** Largest figure that a notice can carry. */
const mostAhead = 2_147_483_647;

/** Milliseconds without a repeat, in `resendMs`, after which a claim counts as given up. */
const claimRepeats = 4;

/** Creates an empty line. */
export function createClaimLine(options: ClaimLineOptions): ClaimLine {
	const {settings, outbox, generation, refresh, answer, isComplete, mayIssue} = options;
	const timers = new Map<string, NodeJS.Timeout>();

	/** Comes back as soon as the reserve can pay for the claim at the front. */
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

	/** Gives to claims in their order; stops at the first that must wait on. */
	function serve(account: ShareAccount): void {
		for (const [name, claim] of account.claims) {
			if (performance.now() > claim.at + (settings.resendMs * claimRepeats)) {
				// The holder would have repeated it: nobody waits for these tokens any more.
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
				// The rest keeps its place until the holder wishes again.
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
				ahead: Math.ceil(Math.max(-mostAhead, Math.min(mostAhead, ahead))),
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
		const standing = account.claims.get(name);
		if (standing) {
			Object.assign(standing, claim);
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
