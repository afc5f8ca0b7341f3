/**
 * Issues the shares of one shard's workspaces. One daemon at a time does, by
 * a lease on the shard's row in the table.
 *
 * A new issuer knows nothing of who holds what. It calls all registered
 * daemons for reports and until every one has reported, is known to have
 * ended, or must have let its lease lapse, it gives out only what came back to
 * itself. Holders go on with what they have meanwhile.
 */
import {create} from '@bufbuild/protobuf';
import {
	ShardCallSchema, ShareGrantSchema, type ShareWish,
} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type PeerOrigin} from '../links/peer-link.js';
import {createClaimLine} from './claim-line.js';
import {type LimiterSettings, type WorkspaceLimit} from './limiter-settings.js';
import {type LivenessEvidence} from './liveness-evidence.js';
import {type Outbox} from './outbox.js';
import {
	type Claim, createShareAccount, dropHolding, giveShare, type Holding, setHolding, type ShareAccount, updateReserve,
} from './share-account.js';

/** What {@link createShardIssuer} needs. */
export type ShardIssuerOptions = {
	shard: number;
	generation: number;
	/** Name of the issuing daemon. */
	name: string;
	/** Registered daemons, each of which may hold shares of earlier issuers. */
	holders: Iterable<string>;
	/** Tokens that each workspace starts with once all holders are known. */
	inherited: ReadonlyMap<string, number>;
	/** `performance.now()` until which the lease allows issuing. */
	leaseEnd: number;
	settings: LimiterSettings;
	evidence: LivenessEvidence;
	outbox: Outbox;
	/** Runs what a timer called for; tests hold it back while a daemon is paused. */
	run: (callback: () => void) => void;
};

/** The issuer of one shard. */
export type ShardIssuer = {
	readonly generation: number;
	extendLease: (leaseEnd: number) => void;
	/** Takes in one wish and answers it by a grant or a notice. */
	takeWish: (origin: PeerOrigin, wish: ShareWish) => void;
	/** The daemon has listed all that it holds of this shard. */
	takeReport: (origin: PeerOrigin) => void;
	/** A workspace whose limit is new here; `fresh` when it never had tokens before. */
	setLimit: (limit: WorkspaceLimit, fresh: boolean) => void;
	/** The workspace is no longer configured: all of its shares are called back. */
	removeLimit: (workspace: string) => void;
	/** Serves claims, ends lapsed holdings and repeats calls. */
	tick: () => void;
	/** Gives nothing out any more; returns the tokens left in each reserve. */
	stop: () => Map<string, number>;
	/** Whether every possible holder is known. */
	isComplete: () => boolean;
	/** Asks a daemon for a report. */
	call: (name: string) => void;
};

/** Milliseconds between two searches for holders that have ended. */
const endHoldingsMs = 1000;

/** Creates an issuer whose lease was just confirmed by the table. */
export function createShardIssuer(options: ShardIssuerOptions): ShardIssuer {
	const {settings, evidence, outbox, generation, shard} = options;
	const startedAt = performance.now();
	const unreported = new Set(options.holders);
	const accounts = new Map<string, ShareAccount>();
	let {leaseEnd} = options;
	let stopped = false;
	let endedAt = Number.NEGATIVE_INFINITY;
	let calledAt = Number.NEGATIVE_INFINITY;

	const holderLeaseMs = settings.leaseMs + settings.marginMs;
	const isComplete = () => unreported.size === 0;
	const mayIssue = () => !stopped && performance.now() < leaseEnd;

	function accountOf(workspace: string): ShareAccount {
		let account = accounts.get(workspace);
		if (!account) {
			account = createShareAccount(workspace, options.inherited.get(workspace) ?? 0, performance.now());
			accounts.set(workspace, account);
		}

		return account;
	}

	function refresh(account: ShareAccount): void {
		updateReserve(account, isComplete(), performance.now());
	}

	const claims = createClaimLine({
		generation, settings, outbox, refresh, answer, isComplete, mayIssue, run: options.run,
	});

	function answer(account: ShareAccount, name: string, claim: Claim): void {
		const given = giveShare(account, name, claim, settings);
		const holding = account.holdings.get(name);
		if (!holding) {
			return;
		}

		holding.answeredAt = performance.now();
		holding.grant = create(ShareGrantSchema, {
			workspace: account.workspace, generation, sequence: holding.sequence, ...given,
		});
		outbox.grant(name, holding.incarnation, holding.grant);
		refresh(account);
	}

	function isNews(origin: PeerOrigin, wish: ShareWish, before: Holding): boolean {
		if (origin.incarnation === before.incarnation) {
			return wish.sequence > before.sequence;
		}

		// With time alone to rely on, the old process may still run until its lease ends.
		return settings.trustRestarts && origin.incarnation > before.incarnation;
	}

	/**
	 * Tokens that a wish puts back into the reserve. They must still stand in the
	 * ledger: a wish that comes after the holder was taken off it brings back
	 * tokens whose place was issued anew, and these would be spent twice.
	 */
	function comingBack(origin: PeerOrigin, wish: ShareWish, before: Holding | undefined): number {
		if (before?.incarnation !== origin.incarnation) {
			return unreported.has(origin.name) ? wish.returned : Math.min(0, wish.returned);
		}

		const unapplied = before.grant && before.grant.sequence > wish.applied ? before.grant.tokens : 0;
		return Math.min(before.burst - wish.burst, wish.returned + unapplied);
	}

	/** The wish came again: its answer may be lost. It is sent as it was, so it moves nothing twice. */
	function repeatAnswer(account: ShareAccount, name: string, holding: Holding): void {
		if (holding.grant) {
			outbox.grant(name, holding.incarnation, holding.grant);
			return;
		}

		const claim = account.claims.get(name);
		if (claim) {
			claim.at = performance.now();
			refresh(account);
			claims.notify(account, name);
		}
	}

	function forget(name: string): void {
		unreported.delete(name);
		for (const account of accounts.values()) {
			refresh(account);
			dropHolding(account, name);
			refresh(account);
		}
	}

	/** Takes holders off the ledger that can do nothing with their shares any more. */
	function endHoldings(now: number): void {
		for (const name of unreported) {
			if (evidence.isGone(name) || now >= startedAt + holderLeaseMs) {
				forget(name);
			}
		}

		for (const account of accounts.values()) {
			refresh(account);
			for (const [name, holding] of account.holdings) {
				if (evidence.hasEnded(name, holding.incarnation) || now >= holding.answeredAt + holderLeaseMs) {
					dropHolding(account, name);
				}
			}

			refresh(account);
		}
	}

	function call(name: string): void {
		outbox.call(name, create(ShardCallSchema, {shard, generation, issuer: options.name}));
	}

	function repeatCalls(now: number): void {
		if (now < calledAt + settings.resendMs) {
			return;
		}

		calledAt = now;
		const due = new Set(unreported);
		for (const account of accounts.values()) {
			if (account.rateOut > account.wholeRate || account.burstOut > account.wholeBurst) {
				for (const name of account.holdings.keys()) {
					due.add(name);
				}
			}
		}

		for (const name of due) {
			call(name);
		}
	}

	function setWhole(account: ShareAccount, rate: number, burst: number): void {
		refresh(account);
		account.wholeRate = rate;
		account.wholeBurst = burst;
		refresh(account);
	}

	return {
		generation,
		extendLease(end) {
			leaseEnd = end;
		},
		takeWish(origin, wish) {
			if (!mayIssue() || wish.generation !== generation || evidence.isGone(origin.name)) {
				return;
			}

			const account = accountOf(wish.workspace);
			const before = account.holdings.get(origin.name);
			if (before && !isNews(origin, wish, before)) {
				if (origin.incarnation === before.incarnation && wish.sequence === before.sequence) {
					repeatAnswer(account, origin.name, before);
				}

				return;
			}

			refresh(account);
			setHolding(account, origin.name, {
				incarnation: origin.incarnation,
				sequence: wish.sequence,
				rate: wish.rate,
				burst: wish.burst,
				answeredAt: performance.now(),
			});
			refresh(account);
			account.reserve.tokens = Math.min(account.reserve.burst, account.reserve.tokens + comingBack(origin, wish, before));
			const claim: Claim = {
				tokens: wish.claim,
				first: wish.first,
				wantedRate: wish.wantedRate,
				wantedTokens: wish.wantedTokens,
				answered: false,
				at: performance.now(),
			};
			if (claim.tokens > 0) {
				claims.place(account, origin.name, claim);
				return;
			}

			account.claims.delete(origin.name);
			if (!wish.quiet) {
				answer(account, origin.name, claim);
			}

			claims.serve(account);
		},
		takeReport(origin) {
			// With time alone to rely on, an older process of that name may still hold shares.
			if (!mayIssue() || !settings.trustRestarts || evidence.isGone(origin.name)) {
				return;
			}

			unreported.delete(origin.name);

			for (const account of accounts.values()) {
				refresh(account);
				claims.serve(account);
				claims.notifyAll(account);
			}
		},
		setLimit(limit, fresh) {
			const account = accountOf(limit.name);
			if (fresh) {
				account.inherited = limit.burstTokens;
			}

			setWhole(account, limit.tokensPerSecond, limit.burstTokens);
			calledAt = Number.NEGATIVE_INFINITY;
		},
		removeLimit(workspace) {
			const account = accounts.get(workspace);
			if (account) {
				setWhole(account, 0, 0);
			}
		},
		tick() {
			if (!mayIssue()) {
				return;
			}

			const now = performance.now();
			if (now >= endedAt + endHoldingsMs) {
				endedAt = now;
				endHoldings(now);
			}

			repeatCalls(now);
			for (const account of accounts.values()) {
				claims.serve(account);
			}
		},
		stop() {
			stopped = true;
			claims.stop();
			const left = new Map<string, number>();
			for (const account of accounts.values()) {
				refresh(account);
				left.set(account.workspace, Math.floor(account.reserve.tokens + account.inherited));
			}

			return left;
		},
		isComplete,
		call,
	};
}
