/**
 * Distributes duties (rollouts, compaction and the like) over daemons by leases in
 * the table; no daemon has a special role.
 *
 * The holder counts its lease from before it sent the write that renewed it, and
 * stops a margin early; a contender counts from after it read the row, and waits
 * an extra margin. Both use only their own monotonic clock. A holder that was
 * paused or cut off from the table thus notices before it acts that its lease has
 * ended. Should it act late all the same, the fencing token in each order
 * invalidates the order.
 *
 * When the table comes back from an older copy, its rows no longer tell who holds a
 * lease. No lease is acquired then until all earlier ones have ended; a holder whose
 * lease is still valid writes its row again. Fencing tokens start above all that were
 * given out before.
 */
import {type TableClient, type TableRow} from '../platform/platform.js';
import {positionOf} from '../routing/rendezvous.js';
import {LeaseTableError} from './lease-errors.js';
import {
	dutyOf, leaseKey, leasePrefix, type LeaseRow, parseLeaseRow,
} from './lease-row.js';

/** Options of {@link createLeaseHolder}. */
export type LeaseHolderOptions = {
	/** Name of this daemon. */
	name: string;
	/** Incarnation of this daemon's process; increases with each start. */
	incarnation: bigint;
	table: TableClient;
	/** Names of all daemons that could hold duties, including this one; decides who tries first. */
	candidates?: () => string[];
	/** Whether the other candidates try before this daemon, since it couldn't act on a duty yet. */
	isDeferred?: () => boolean;
	/** Whether a process is known to have ended, so that the end of its lease need not be awaited. */
	hasEnded?: (name: string, incarnation: bigint) => boolean;
	/**
	 * Latest report of a holder on its lease, if one was received. If the holder has
	 * not written the row since, its lease ends at the reported time. Without a report
	 * a contender has to wait for a whole lease, which might have been renewed just
	 * before.
	 */
	lastReport?: (holder: string, incarnation: bigint) => LeaseReport | undefined;
	/** Whether another daemon has recently reported that it holds a duty; the rows are not read then. */
	isHeldElsewhere?: (duty: string) => boolean;
	/**
	 * Called before each attempt to acquire, renew or release a lease, so that peers learn of
	 * the attempt first. Otherwise, if the holder is suspended before it receives
	 * the response to a renewal, the row contains an attempt that no peer knows of,
	 * and peers have to wait for a whole lease instead of its remaining time.
	 */
	onAttempt?: () => void;
	/** Returns a text that the holder stores with its lease for its successors. */
	note?: (duty: string) => string | undefined;
	/** Called with the note of another process whenever that process's row is read. */
	onNote?: (duty: string, note: string) => void;
	/** Called after each acquisition or renewal of a lease. */
	onHeld?: (duty: string) => void;
	/** Called on table errors; the operation is retried at the next tick. */
	onError?: (error: unknown) => void;
	/** Duration of a lease in milliseconds; 30,000 by default, the same on every daemon. */
	leaseMs?: number;
	/** Milliseconds by which a holder stops early and a contender waits longer; 5,000 by default. */
	marginMs?: number;
};

/** A duty that this process currently holds. */
export type HeldLease = {
	duty: string;
	/** Fencing token; sent with every order, so that an endpoint can refuse orders of an earlier holder. */
	fencing: number;
	/** Milliseconds for which the holder may still act. */
	msLeft: number;
};

/** A process's report on a lease that it holds or has held. */
export type LeaseReport = {
	/** Number of its latest attempt to write the lease's row, whether or not it got a response. */
	attempt: number;
	/** `performance.now()` at which the report was received. */
	heardAt: number;
	/** Milliseconds after `heardAt` for which any of these attempts may let the process act; 0 when it may no longer act. */
	msLeft: number;
};

/** Acquires and renews the leases of one daemon. */
export type LeaseHolder = {
	/**
	 * Report for peers on a lease of this process: its latest attempt to write the
	 * row, and the milliseconds for which that or an earlier attempt may let it act.
	 */
	report: (duty: string) => {attempt: number; msLeft: number} | undefined;
	/** Starts to contend for a duty. */
	contend: (duty: string) => void;
	/** The lease if it is still valid, checked against the clock: call this right before each act. */
	held: (duty: string) => HeldLease | undefined;
	/** Runs one round of reading, acquiring and renewing leases; never rejects. */
	tick: () => Promise<void>;
	/** Calls `tick` now and then three times per lease duration. */
	start: () => Promise<void>;
	/** Releases one duty to another daemon, and doesn't contend for it for `pauseMs`. */
	handOver: (duty: string, pauseMs: number) => Promise<void>;
	/** Releases all duties, for a graceful stop. */
	release: () => Promise<void>;
	/** Stops the timer; leases expire by themselves. */
	close: () => void;
};

/** `row` is `undefined` if the row is unreadable or was removed (version 0); any daemon may hold the lease then. */
type ObservedRow = {row: LeaseRow | undefined; version: number; unchangedSince: number; leaseMs: number};
type Held = {fencing: number; end: number; clockOffset: number};

const defaultLeaseMs = 30_000;
const defaultMarginMs = 5000;
const roundsPerLease = 3;
/** Longest lease beside a table that answers late, in multiples of the usual one. */
const maxLeaseTimes = 6;
/** Fencing tokens of one generation of the table. */
const fencingPerGeneration = 2 ** 32;
/** Milliseconds that a contender waits after the reported end of a lease; datagrams arrive much faster than this. */
const reportMarginMs = 250;
/**
 * A machine may be suspended while its monotonic clock stands still: when it
 * resumes, its lease looks valid although another daemon has long acquired it.
 * The wall clock does advance. If the two clocks drift apart by more than this, in
 * milliseconds, the lease counts as lost until the next renewal. Setting the wall
 * clock has the same effect and costs one round.
 */
const maxClockDriftMs = 150;

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
	const maxLeaseMs = leaseMs * maxLeaseTimes;
	const duties = new Set<string>();
	const observed = new Map<string, ObservedRow>();
	const held = new Map<string, Held>();
	/** Largest fencing token seen of each duty. */
	const maxFencing = new Map<string, number>();
	const vacantRounds = new Map<string, number>();
	/** `performance.now()` until which this daemon doesn't acquire a duty that it handed over. */
	const pausedUntil = new Map<string, number>();
	// A number is never used twice, so that a row identifies the attempt that wrote it.
	let attempt = 0;
	const attempts = new Map<string, {attempt: number; end: number}>();
	let readAt = Number.NEGATIVE_INFINITY;
	let generation = 0;
	let generationAt = Number.NEGATIVE_INFINITY;
	/** Longest lease in milliseconds that any row has stated. */
	let longestMs = leaseMs;
	/** Time in milliseconds that the latest write of a row took. */
	let writeMs = 0;
	let busy = false;
	let released = false;
	let timer: NodeJS.Timeout | undefined;

	const msLeftOf = (lease: Held | undefined): number => {
		if (lease === undefined || Math.abs(Date.now() - performance.now() - lease.clockOffset) > maxClockDriftMs) {
			return 0;
		}

		return lease.end - performance.now();
	};

	const isOurs = (row: LeaseRow) => row.holder === name && row.incarnation === incarnation;

	/** Detects that the table came back from a copy, or that this process doesn't know whether it did before its start. */
	function checkGeneration(): void {
		const current = table.generation?.() ?? 0;
		if (current > generation) {
			generation = current;
			generationAt = performance.now();
			observed.clear();
		}
	}

	/** Whether all leases of earlier generations have ended. */
	const isSettled = () => performance.now() >= generationAt + longestMs + marginMs;

	/** A lease that lasts until the renewal after the next round is answered, however late the table is. */
	const nextLeaseMs = (): number => Math.min(maxLeaseMs, Math.max(leaseMs, marginMs + (leaseMs / 2) + (writeMs * 2)));

	const setObserved = (duty: string, {row, version}: Pick<ObservedRow, 'row' | 'version'>): void => {
		const ofRowMs = row === undefined ? observed.get(duty)?.leaseMs ?? longestMs : row.leaseMs ?? leaseMs;
		longestMs = Math.max(longestMs, ofRowMs);
		observed.set(duty, {
			row, version, unchangedSince: performance.now(), leaseMs: ofRowMs,
		});
	};

	/** The largest fencing token that may have been given out by this version of a row, since each one takes a write. */
	const maxFencingAt = (version: number): number => (generation * fencingPerGeneration) + (version % fencingPerGeneration);

	function parse(found: TableRow): LeaseRow | undefined {
		try {
			return parseLeaseRow(found, {maxFencing: maxFencingAt(found.version), maxLeaseMs});
		} catch (error) {
			if (observed.get(dutyOf(found.key))?.version !== found.version) {
				options.onError?.(new LeaseTableError(`The row ${found.key} is invalid. Its duty is free once a lease of this version has ended.`, {cause: error}));
			}

			return undefined;
		}
	}

	function noteFencing(duty: string, fencing: number): void {
		maxFencing.set(duty, Math.max(maxFencing.get(duty) ?? 0, fencing));
	}

	/** Another writer removed a known row. Its holder may act until its lease has ended. */
	function observeRemoval(duty: string): void {
		if ((observed.get(duty)?.version ?? 0) > 0) {
			setObserved(duty, {row: undefined, version: 0});
		}
	}

	function observe(duty: string, found: TableRow): LeaseRow | undefined {
		checkGeneration();
		const row = parse(found);
		if (observed.get(duty)?.version !== found.version) {
			setObserved(duty, {row, version: found.version});
		}

		if (row !== undefined) {
			noteFencing(duty, row.fencing);
		}

		if (row === undefined || !isOurs(row)) {
			if (isSettled()) {
				held.delete(duty);
			}

			if (row?.note !== undefined) {
				options.onNote?.(duty, row.note);
			}
		}

		return row;
	}

	function isVacant(duty: string): boolean {
		if (!isSettled()) {
			return false;
		}

		const known = observed.get(duty);
		if (known === undefined || performance.now() >= known.unchangedSince + known.leaseMs + marginMs) {
			return true;
		}

		return known.row !== undefined && isFree(duty, known.row);
	}

	/** Whether the lease in this row is known to have ended. */
	function isFree(duty: string, row: LeaseRow): boolean {
		if (row.holder === '') {
			return true;
		}

		if (isOurs(row)) {
			return !held.has(duty);
		}

		const report = options.lastReport?.(row.holder, BigInt(row.incarnation));
		if (report !== undefined && row.attempt <= report.attempt && hasEndedByReport(report)) {
			return true;
		}

		return options.hasEnded?.(row.holder, BigInt(row.incarnation)) ?? false;
	}

	/** A token above all that were given out. */
	function nextFencing(duty: string): number {
		return Math.max(maxFencing.get(duty) ?? 0, maxFencingAt(observed.get(duty)?.version ?? 0)) + 1;
	}

	/** Position of this daemon among the candidates, counted from 0. */
	function placeOf(duty: string): number {
		const candidates = options.candidates?.() ?? [name];
		return options.isDeferred?.() ? candidates.length - 1 : positionOf(duty, name, candidates);
	}

	/** Each daemon that ranks before this one gets one round to acquire the duty first, so that duties spread over daemons. */
	function isOurTurn(duty: string): boolean {
		const rounds = vacantRounds.get(duty) ?? 0;
		vacantRounds.set(duty, rounds + 1);
		return rounds >= Math.min(placeOf(duty), roundsPerLease);
	}

	/** Only the first candidates read the rows in each round; the others do so once per lease, as a fallback. */
	function isLeftToOthers(duty: string): boolean {
		return placeOf(duty) > roundsPerLease && performance.now() - readAt < leaseMs;
	}

	/** Writes the row and resolves to whether it is in the table. If the response is lost, the row is read back. */
	async function writeRow(duty: string, row: LeaseRow): Promise<boolean> {
		const key = leaseKey(duty);
		const before = generation;
		try {
			const result = await table.transact([{key, value: JSON.stringify(row), ifVersion: observed.get(duty)?.version ?? 0}]);
			if (result.committed) {
				setObserved(duty, {row, version: result.versions[key]});
				checkGeneration();
				return generation === before;
			}
		} catch {
			// The write may have taken effect nevertheless.
		}

		const found = await table.get(key);
		checkGeneration();
		if (found === undefined) {
			observeRemoval(duty);
			return false;
		}

		const now = observe(duty, found);
		return generation === before && now !== undefined && isOurs(now) && now.attempt === row.attempt;
	}

	async function acquireOrRenew(duty: string, fencing: number): Promise<void> {
		attempt += 1;
		const sentAt = performance.now();
		const lengthMs = nextLeaseMs();
		const end = sentAt + lengthMs - marginMs;
		const clockOffset = Date.now() - performance.now();
		attempts.set(duty, {attempt, end});
		options.onAttempt?.();
		const row = {
			holder: name, incarnation, fencing, attempt, note: options.note?.(duty), ...(lengthMs > leaseMs && {leaseMs: lengthMs}),
		};
		const isRenewal = held.has(duty);
		const isWritten = await writeRow(duty, row);
		writeMs = performance.now() - sentAt;
		if (isWritten && !released) {
			// A process that never saw the row learns only from the version how many tokens may have been given out.
			const granted = isRenewal ? fencing : Math.max(fencing, maxFencingAt(observed.get(duty)?.version ?? 0));
			noteFencing(duty, granted);
			held.set(duty, {fencing: granted, end, clockOffset});
			options.onHeld?.(duty);
		}
	}

	async function runRound(): Promise<void> {
		// A holder renews from the version that it wrote last, without reading; a conflict shows that the row has changed.
		checkGeneration();
		if (![...duties].every(duty => msLeftOf(held.get(duty)) > 0 && observed.has(duty))) {
			readAt = performance.now();
			const rows = await table.list({prefix: leasePrefix});
			checkGeneration();
			for (const row of rows) {
				observe(dutyOf(row.key), row);
			}

			const listed = new Set(rows.map(({key}) => dutyOf(key)));
			for (const duty of observed.keys()) {
				if (!listed.has(duty)) {
					observeRemoval(duty);
				}
			}
		}

		for (const duty of duties) {
			const lease = held.get(duty);
			if (lease && performance.now() < lease.end) {
				await acquireOrRenew(duty, lease.fencing);
				continue;
			}

			held.delete(duty);
			if (!isVacant(duty)) {
				vacantRounds.delete(duty);
			} else if (performance.now() >= (pausedUntil.get(duty) ?? 0) && isOurTurn(duty)) {
				await acquireOrRenew(duty, nextFencing(duty));
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
			await runRound();
		} catch (error) {
			options.onError?.(new LeaseTableError('The rows of the leases could not be read or written. Retrying at the next tick.', {cause: error}));
		} finally {
			busy = false;
		}
	}

	/** Stops acting at once, then writes that the duty is free. */
	async function giveBack(duty: string): Promise<void> {
		const lease = held.get(duty);
		if (lease === undefined) {
			return;
		}

		held.delete(duty);
		attempt += 1;
		try {
			attempts.set(duty, {attempt, end: performance.now()});
			options.onAttempt?.();
			await writeRow(duty, {
				holder: '', incarnation, fencing: lease.fencing, attempt, note: options.note?.(duty),
			});
		} catch (error) {
			options.onError?.(new LeaseTableError(`The lease of duty "${duty}" could not be released. The duty becomes free when the lease expires.`, {cause: error}));
		}
	}

	return {
		report(duty) {
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
		async handOver(duty, pauseMs) {
			pausedUntil.set(duty, performance.now() + pauseMs);
			await giveBack(duty);
		},
		async release() {
			released = true;
			for (const duty of held.keys()) {
				await giveBack(duty);
			}
		},
		close() {
			clearInterval(timer);
		},
	};
}

/** Whether the reported lease has ended. A report of 0 ms needs no margin, since the holder repeats it. */
function hasEndedByReport({heardAt, msLeft}: LeaseReport): boolean {
	return msLeft === 0 || performance.now() >= heardAt + msLeft + reportMarginMs;
}
