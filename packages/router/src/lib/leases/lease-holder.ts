/**
 * Spreads duties (rollouts, compaction and the like) over daemons by leases in
 * the table; no daemon is special.
 *
 * The holder counts its lease from before the write that renewed it was sent,
 * and stops a margin early; a contender counts from after it read the row, and
 * waits a margin more. Both use their own monotonic clock only. So a holder
 * that was paused, or cut off from the table, finds out before it acts that it
 * must not, and the fencing number in each order voids what is late all the
 * same.
 */
import {type TableClient, type TableRow} from '../platform/platform.js';
import {placeOf} from '../routing/rendezvous.js';
import {LeaseTableError} from './lease-errors.js';
import {
	dutyOf, leaseKey, leasePrefix, type LeaseRow, parseLeaseRow,
} from './lease-row.js';

/** Options of {@link createLeaseHolder}. */
export type LeaseHolderOptions = {
	/** Name of this daemon. */
	name: string;
	/** Process of this daemon; grows with each start. */
	incarnation: bigint;
	table: TableClient;
	/** Names of all daemons that could hold duties, this one included: decides who tries first. */
	candidates?: () => string[];
	/** Whether a process is known to have ended, so that its lease need not be waited for. */
	hasEnded?: (name: string, incarnation: bigint) => boolean;
	/**
	 * What a holder last said of its lease, where it could be heard: a lease that
	 * it has not written to since ends when it said so, without the wait for one
	 * that may have been renewed a moment ago.
	 */
	lastWord?: (holder: string, incarnation: bigint) => LeaseWord | undefined;
	/** Whether another daemon was just heard to hold a duty; the rows need not be read then. */
	isHeldElsewhere?: (duty: string) => boolean;
	/**
	 * Called before each attempt to take or renew a lease, so that peers hear of it
	 * first. A holder that is suspended while the answer to its renewal is on the
	 * way has written an attempt that nobody knows; its peers would have to watch
	 * the row for a whole lease in place of what is left of it.
	 */
	onAttempt?: () => void;
	/** Text that a holder stores with its lease for its successors. */
	note?: (duty: string) => string | undefined;
	/** Called with the note of another process whenever its row is read. */
	onNote?: (duty: string, note: string) => void;
	/** Told of table faults; the work is tried again by itself. */
	onError?: (error: unknown) => void;
	/** Milliseconds for which a lease lasts; 30,000 by default, the same on every daemon. */
	leaseMs?: number;
	/** Milliseconds by which a holder stops early and a contender waits longer; 5,000 by default. */
	marginMs?: number;
};

/** A duty that this process holds now. */
export type HeldLease = {
	duty: string;
	/** Goes with every order, so that an endpoint can refuse an older holder's. */
	fencing: number;
	/** Milliseconds for which the holder may still act. */
	msLeft: number;
};

/** What a process says of a lease that it holds or has held. */
export type LeaseWord = {
	/** Number of its latest attempt to write the lease's row, answered or not. */
	attempt: number;
	/** `performance.now()` at which this was heard. */
	heardAt: number;
	/** Milliseconds from then on for which any of these attempts may let it act; 0 when it may not act any more. */
	msLeft: number;
};

/** The holder of one daemon. */
export type LeaseHolder = {
	/**
	 * What this process may say of a lease to others: its latest attempt to write
	 * the row, and the milliseconds for which that or an earlier one may let it act.
	 */
	word: (duty: string) => {attempt: number; msLeft: number} | undefined;
	/** Takes part in the contest for a duty from now on. */
	contend: (duty: string) => void;
	/** The lease, looked up on the clock anew: ask right before each act. */
	held: (duty: string) => HeldLease | undefined;
	/** One round of reading, taking and renewing; never rejects. */
	tick: () => Promise<void>;
	/** Calls `tick` three times in each lease. */
	start: () => Promise<void>;
	/** Gives all duties up, for a graceful stop. */
	release: () => Promise<void>;
	/** Stops the timer; leases end by themselves. */
	close: () => void;
};

type Watched = {row: LeaseRow; version: number; unchangedSince: number};
type Held = {fencing: number; end: number; clockOffset: number};

const defaultLeaseMs = 30_000;
const defaultMarginMs = 5000;
const roundsPerLease = 3;
/** Time by which a contender waits beyond a holder's word, in milliseconds: datagrams take far less. */
const wordMarginMs = 250;
/**
 * A machine may be suspended without its monotonic clock moving, so that a
 * holder wakes with a lease that looks good and has long been another's. The
 * time of day does move; a difference above this, in milliseconds, drops the
 * lease until the next renewal. A time of day that is set anew looks the same
 * and costs one round.
 */
const mostClockDriftMs = 150;

/**
 * Creates the holder of one daemon.
 *
 * @example
 * const leases = createLeaseHolder({name: 'entry-1', incarnation, table: platform.table});
 * leases.contend('compaction');
 * await leases.start();
 * const lease = leases.held('compaction');
 * if (lease) {
 * 	await compact(lease.fencing);
 * }
 */
export function createLeaseHolder(options: LeaseHolderOptions): LeaseHolder {
	const {name, table} = options;
	const incarnation = String(options.incarnation);
	const leaseMs = options.leaseMs ?? defaultLeaseMs;
	const marginMs = options.marginMs ?? defaultMarginMs;
	const duties = new Set<string>();
	const watched = new Map<string, Watched>();
	const held = new Map<string, Held>();
	const vacantRounds = new Map<string, number>();
	// A number is never used twice, so a row tells which attempt wrote it.
	let attempt = 0;
	const attempts = new Map<string, {attempt: number; end: number}>();
	let readAt = Number.NEGATIVE_INFINITY;
	let busy = false;
	let released = false;
	let timer: NodeJS.Timeout | undefined;

	const msLeftOf = (lease: Held | undefined): number => {
		if (lease === undefined || Math.abs(Date.now() - performance.now() - lease.clockOffset) > mostClockDriftMs) {
			return 0;
		}

		return lease.end - performance.now();
	};

	const isOurs = (row: LeaseRow) => row.holder === name && row.incarnation === incarnation;

	function watch(duty: string, found: TableRow): LeaseRow {
		const row = parseLeaseRow(found);
		if (watched.get(duty)?.version !== found.version) {
			watched.set(duty, {row, version: found.version, unchangedSince: performance.now()});
		}

		if (!isOurs(row)) {
			held.delete(duty);
			if (row.note !== undefined) {
				options.onNote?.(duty, row.note);
			}
		}

		return row;
	}

	function isVacant(duty: string): boolean {
		const known = watched.get(duty);
		if (!known || known.row.holder === '') {
			return true;
		}

		if (isOurs(known.row)) {
			return !held.has(duty);
		}

		const word = options.lastWord?.(known.row.holder, BigInt(known.row.incarnation));
		if (word !== undefined && known.row.attempt <= word.attempt && hasEndedBy(word)) {
			return true;
		}

		return (options.hasEnded?.(known.row.holder, BigInt(known.row.incarnation)) ?? false)
			|| performance.now() >= known.unchangedSince + leaseMs + marginMs;
	}

	/** Daemons that rank before this one get a round each, so duties spread. */
	function isOurTurn(duty: string): boolean {
		const rounds = vacantRounds.get(duty) ?? 0;
		vacantRounds.set(duty, rounds + 1);
		const place = placeOf(duty, name, options.candidates?.() ?? [name]);
		return rounds >= Math.min(place, roundsPerLease);
	}

	/** Only the first candidates look for a vacancy in each round; the others back them up. */
	function isLeftToOthers(duty: string): boolean {
		return placeOf(duty, name, options.candidates?.() ?? [name]) > roundsPerLease && performance.now() - readAt < leaseMs;
	}

	/** Resolves to whether our own row stands; a lost answer is settled by reading it back. */
	async function write(duty: string, row: LeaseRow): Promise<boolean> {
		const key = leaseKey(duty);
		try {
			const result = await table.transact([{key, value: JSON.stringify(row), ifVersion: watched.get(duty)?.version ?? 0}]);
			if (result.committed) {
				watched.set(duty, {row, version: result.versions[key], unchangedSince: performance.now()});
				return true;
			}
		} catch {
			// It may have taken effect all the same.
		}

		const found = await table.get(key);
		const now = found && watch(duty, found);
		return now !== undefined && isOurs(now) && now.attempt === row.attempt;
	}

	async function hold(duty: string, fencing: number): Promise<void> {
		attempt += 1;
		const end = performance.now() + leaseMs - marginMs;
		const clockOffset = Date.now() - performance.now();
		attempts.set(duty, {attempt, end});
		options.onAttempt?.();
		const row = {
			holder: name, incarnation, fencing, attempt, note: options.note?.(duty),
		};
		if (await write(duty, row) && !released) {
			held.set(duty, {fencing, end, clockOffset});
		}
	}

	async function round(): Promise<void> {
		// A holder renews by the version that it wrote last; a conflict tells it the rest.
		if (![...duties].every(duty => msLeftOf(held.get(duty)) > 0)) {
			readAt = performance.now();
			for (const row of await table.list({prefix: leasePrefix})) {
				watch(dutyOf(row.key), row);
			}
		}

		for (const duty of duties) {
			const lease = held.get(duty);
			if (lease && performance.now() < lease.end) {
				await hold(duty, lease.fencing);
				continue;
			}

			held.delete(duty);
			if (!isVacant(duty)) {
				vacantRounds.delete(duty);
			} else if (isOurTurn(duty)) {
				await hold(duty, (watched.get(duty)?.row.fencing ?? 0) + 1);
			}
		}
	}

	async function tick(): Promise<void> {
		if (busy || released) {
			return;
		}

		if (held.size === 0 && [...duties].every(duty => (options.isHeldElsewhere?.(duty) ?? false) || isLeftToOthers(duty))) {
			return;
		}

		busy = true;
		try {
			await round();
		} catch (error) {
			options.onError?.(new LeaseTableError('The leases could not be read or written. They are tried again.', {cause: error}));
		} finally {
			busy = false;
		}
	}

	return {
		word(duty) {
			const latest = attempts.get(duty);
			return latest && {attempt: latest.attempt, msLeft: Math.max(0, latest.end - performance.now())};
		},
		contend(duty) {
			duties.add(duty);
		},
		held(duty) {
			const lease = held.get(duty);
			const msLeft = msLeftOf(lease);
			return lease && msLeft > 0 ? {duty, fencing: lease.fencing, msLeft} : undefined;
		},
		tick,
		async start() {
			await tick();
			timer ??= setInterval(() => {
				void tick();
			}, leaseMs / roundsPerLease);
		},
		async release() {
			released = true;
			const mine = [...held];
			held.clear();
			for (const [duty, {fencing}] of mine) {
				attempt += 1;
				try {
					attempts.set(duty, {attempt, end: performance.now()});
					await write(duty, {
						holder: '', incarnation, fencing, attempt, note: options.note?.(duty),
					});
				} catch (error) {
					options.onError?.(new LeaseTableError(`The duty ${duty} could not be given back. It becomes free when its lease ends.`, {cause: error}));
				}
			}
		},
		close() {
			clearInterval(timer);
		},
	};
}

/** A holder that says that it may not act any more needs no margin; it says so again and again. */
function hasEndedBy({heardAt, msLeft}: LeaseWord): boolean {
	return msLeft === 0 || performance.now() >= heardAt + msLeft + wordMarginMs;
}
