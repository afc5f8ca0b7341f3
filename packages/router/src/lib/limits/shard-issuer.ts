/**
 * Issues the shares of one shard's workspaces. A lease on the shard's row in the
 * table ensures that only one daemon does so at a time.
 *
 * A new issuer does not know the holders. It calls on all registered daemons to
 * report. Until each of them has reported, is known to have ended, or can only
 * have expired leases, the issuer grants only what was returned to itself.
 * Meanwhile the holders continue to use their shares.
 */
import {create} from '@bufbuild/protobuf';
import {
	ShardCallSchema, ShareGrantSchema, type ShareWish,
} from '../../gen/hickorywalk/v1/limits_pb.js';
import {type PeerOrigin} from '../links/peer-link.js';
import {createClaimQueue} from './claim-queue.js';
import {type LimiterSettings, type WorkspaceLimit} from './limiter-settings.js';
import {type LivenessEvidence} from './liveness-evidence.js';
import {type Outbox} from './outbox.js';
import {
	type Claim, createShareAccount, dropHolding, grantShare, type Holding, setHolding, type ShareAccount, updateReserve,
} from './share-account.js';

/** Options of {@link createShardIssuer}. */
export type ShardIssuerOptions = {
	shard: number;
	generation: number;
	/** Name of the issuing daemon. */
	name: string;
	/** Registered daemons, each of which may hold shares of earlier issuers. */
	holders: Iterable<string>;
	/** Tokens added to the reserve of each workspace once all holders are known. */
	inherited: ReadonlyMap<string, number>;
	/** `performance.now()` until which the lease allows issuing. */
	leaseEnd: number;
	settings: LimiterSettings;
	evidence: LivenessEvidence;
	outbox: Outbox;
	/** Runs the callback of a timer; tests defer it while a daemon is paused. */
	run: (callback: () => void) => void;
};

/** The issuer of one shard. */
export type ShardIssuer = {
	readonly generation: number;
	extendLease: (leaseEnd: number) => void;
	/** Processes one wish and answers it with a grant or a notice. */
	takeWish: (origin: PeerOrigin, wish: ShareWish) => void;
	/** Processes the report of a daemon that has now listed all that it holds of this shard. */
	takeReport: (origin: PeerOrigin) => void;
	/** Sets the limit of a workspace; `isNew` if the workspace never had tokens before, so that it starts with a full burst. */
	setLimit: (limit: WorkspaceLimit, isNew: boolean) => void;
	/** Removes the limit of a workspace that is no longer configured: all its shares are called back. */
	removeLimit: (workspace: string) => void;
	/** Serves claims, drops holdings that have ended and repeats calls. */
	tick: () => void;
	/** Stops issuing; returns the tokens left in each reserve. */
	stop: () => Map<string, number>;
	/** Whether every possible holder is known. */
	isComplete: () => boolean;
	/** Calls on a daemon to report. */
	call: (name: string) => void;
};

/** Milliseconds between two checks for holders that have ended. */
const endHoldingsMs = 1000;

/** Creates an issuer. The table must have confirmed its lease. */
export function createShardIssuer(options: ShardIssuerOptions): ShardIssuer {
	const {settings, evidence, outbox, generation, shard} = options;
	const startedAt = performance.now();
	const unreported = new Set(options.holders);
	const accounts = new Map<string, ShareAccount>();
	let {leaseEnd} = options;
	let stopped = false;
	let holdingsCheckedAt = Number.NEGATIVE_INFINITY;
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

	const claims = createClaimQueue({
		generation, settings, outbox, refresh, answer, isComplete, mayIssue, run: options.run,
	});

	function answer(account: ShareAccount, name: string, claim: Claim): void {
		const given = grantShare(account, name, claim, settings);
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

	function isNewer(origin: PeerOrigin, wish: ShareWish, before: Holding): boolean {
		if (origin.incarnation === before.incarnation) {
			return wish.sequence > before.sequence;
		}

		// If restarts prove nothing, the old process may run until its lease ends.
		return settings.trustRestarts && origin.incarnation > before.incarnation;
	}

	/**
	 * Tokens that a wish returns to the reserve. The account must still record
	 * them: if the holder was dropped before the wish arrived, its tokens may have
	 * been issued again, and crediting them would let them be spent twice.
	 */
	function returnedTokens(origin: PeerOrigin, wish: ShareWish, before: Holding | undefined): number {
		if (before?.incarnation !== origin.incarnation) {
			return unreported.has(origin.name) ? wish.returned : Math.min(0, wish.returned);
		}

		const unapplied = before.grant && before.grant.sequence > wish.applied ? before.grant.tokens : 0;
		return Math.min(before.burst - wish.burst, wish.returned + unapplied);
	}

	/** Answers a repeated wish, whose answer may be lost. The same grant is sent again, so nothing is granted twice. */
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

	/** Drops the holdings of daemons that have ended or whose leases have ended. */
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
			if (account.heldRate > account.limitRate || account.heldBurst > account.limitBurst) {
				for (const name of account.holdings.keys()) {
					due.add(name);
				}
			}
		}

		for (const name of due) {
			call(name);
		}
	}

	function updateLimit(account: ShareAccount, rate: number, burst: number): void {
		refresh(account);
		account.limitRate = rate;
		account.limitBurst = burst;
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
			if (before && !isNewer(origin, wish, before)) {
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
			account.reserve.tokens = Math.min(account.reserve.burst, account.reserve.tokens + returnedTokens(origin, wish, before));
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
			// If restarts prove nothing, an older process of that name may still hold shares.
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
		setLimit(limit, isNew) {
			const account = accountOf(limit.name);
			if (isNew) {
				account.inherited = limit.burstTokens;
			}

			updateLimit(account, limit.tokensPerSecond, limit.burstTokens);
			calledAt = Number.NEGATIVE_INFINITY;
		},
		removeLimit(workspace) {
			const account = accounts.get(workspace);
			if (account) {
				updateLimit(account, 0, 0);
			}
		},
		tick() {
			if (!mayIssue()) {
				return;
			}

			const now = performance.now();
			if (now >= holdingsCheckedAt + endHoldingsMs) {
				holdingsCheckedAt = now;
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
