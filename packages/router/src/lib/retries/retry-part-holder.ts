/**
 * Holds this daemon's part of the fixed number of repeats, by a lease in the table that all daemons share.
 *
 * What a daemon may grant follows from rows that it has written, never from the peers that it has heard of. A daemon that
 * can't renew its part loses it after a while, and has none after its start until the table has given it one; it may
 * still repeat a share of its own requests then. The row is split, so that daemons of a large fleet seldom
 * write the same row at once.
 */
import {type Log} from '../observability/log.js';
import {type TableClient} from '../platform/platform.js';
import {seedOfName} from '../routing/rendezvous.js';
import {
	emptyRow, partRowSchema, type PartRow, renewPart, returnPart,
} from './retry-part-row.js';

/** Options of {@link createRetryPartHolder}. */
export type RetryPartHolderOptions = {
	/** Name of this daemon. */
	name: string;
	/** Unix milliseconds at the start of its process. */
	incarnation: number;
	/** Fixed number of repeats of all daemons in a window, the same on every daemon. */
	total: number;
	/** Length of the window, in milliseconds. */
	windowMs: number;
	/** Whether the whole fleet starts for the first time. */
	isFirstStart: boolean;
	table: TableClient;
	/** The table's clock in milliseconds, never ahead of it; `undefined` while unknown. */
	tableMs: () => number | undefined;
	/** Returns a number in [0, 1). */
	random: () => number;
	log: Log;
};

/** The holder. */
export type RetryPartHolder = {
	/** Repeats that this daemon may grant in any window beyond the share of its requests, for each service. */
	units: () => number;
	/** Daemons among which the row divided its units when the part was renewed; 0 before. */
	holders: () => number;
	/**
	 * Other daemons that hold a part of the same row, as it was when this one's was renewed, with the milliseconds since they have
	 * renewed theirs: they run, whether or not their reports arrive.
	 */
	others: () => Array<{name: string; renewedMsAgo: number}>;
	/** Number of rows, over which the daemons are spread. */
	rowCount: number;
	/** Another daemon has stopped, so that its part is no sign of it any more. */
	forget: (name: string) => void;
	start: () => void;
	/** Returns the part, for a planned stop. Never rejects. */
	leave: () => Promise<void>;
};

const rowPrefix = 'retry-parts/';

/** Units of one row. */
const unitsPerRow = 64;

const leaseMs = 60_000;
const renewMs = 20_000;

/** Random part of the pause before a renewal. */
const renewSpread = 0.2;

/** Pauses before another try, in milliseconds: after an error, and the first one after another daemon has written the row, which doubles. */
const errorPauseMs = 1000;
const conflictPauseMs = 20;
const maxConflicts = 8;

/** Bounds how much later than it was counted a repeat of a part that has ended may arrive, and how late clocks are, in milliseconds. */
const latenessMs = 2000;

/** Difference in milliseconds between the progress of the steady and the wall clock from which on the machine may have been suspended. */
const maxClockDriftMs = 150;

type Part = {units: number; endsAt: number; clockOffset: number};

/** The row as it was read, and bounds on the table's clock. */
type Reading = {row: PartRow | undefined; isMissing: boolean; askedAt: number; offset: number; now: number; latest: number};

const clockOffset = (): number => Date.now() - performance.now();

/** Number of rows, and units of each. */
function rowsOf(total: number): number[] {
	const count = Math.max(1, Math.round(total / unitsPerRow));
	return Array.from({length: count}, (_item, index) => Math.floor((total + index) / count));
}

/** Creates the holder; it has no part and makes no calls until started. */
export function createRetryPartHolder(options: RetryPartHolderOptions): RetryPartHolder {
	const {name, incarnation, table, random, log} = options;
	const rowUnits = rowsOf(Math.floor(options.total));
	const rowIndex = (seedOfName(name) >>> 0) % rowUnits.length; // eslint-disable-line no-bitwise
	const key = `${rowPrefix}${rowIndex}`;
	const restMs = options.windowMs + latenessMs;
	let part: Part | undefined;
	let holders = 0;
	/** When other holders' parts end, on the table's clock. */
	let otherEnds = new Map<string, number>();
	let hasLeft = false;
	let timer: NodeJS.Timeout | undefined;
	let isRenewing = false;
	let isLapseLogged = true;

	/** Units in use at most, for the table. */
	const heldUnits = (): number => part !== undefined && performance.now() < part.endsAt ? part.units : 0;

	const isSuspected = (): boolean => part !== undefined && Math.abs(clockOffset() - part.clockOffset) > maxClockDriftMs;

	const parse = (value: string): PartRow | undefined => {
		try {
			return partRowSchema.parse(JSON.parse(value));
		} catch (error) {
			log.warn('Row of retry parts is invalid; it is written anew.', {path: key, err: error});
			return undefined;
		}
	};

	const schedule = (delayMs: number): void => {
		clearTimeout(timer);
		if (!hasLeft) {
			timer = setTimeout(() => {
				void renew();
			}, delayMs);
		}
	};

	/** Reads the row and writes what follows from it, until no other daemon writes in between; resolves to whether that came about. */
	const update = async (change: (reading: Reading) => {row: PartRow; commit: () => void}): Promise<boolean> => {
		for (let conflicts = 0; conflicts < maxConflicts; conflicts++) {
			const askedAt = performance.now();
			const offset = clockOffset();
			const found = await table.get(key);
			const now = options.tableMs();
			if (now === undefined) {
				return false;
			}

			const {row, commit} = change({
				row: found === undefined ? undefined : parse(found.value),
				isMissing: found === undefined,
				askedAt,
				offset,
				now,
				// The answer tells of a time after it was asked for.
				latest: now + performance.now() - askedAt,
			});
			const {committed} = await table.transact([{key, value: JSON.stringify(row), ifVersion: found?.version ?? 0}]);
			if (committed) {
				commit();
				return true;
			}

			await new Promise<void>(resolve => {
				setTimeout(resolve, random() * conflictPauseMs * (2 ** conflicts));
			});
		}

		return false;
	};

	const renewOnce = async (): Promise<number> => {
		let growsInMs: number | undefined;
		const isRenewed = await update(({
			row, isMissing, askedAt, offset, now, latest,
		}) => {
			const generation = table.generation?.() ?? 0;
			const renewal = renewPart(row, {
				name, incarnation, held: heldUnits(), total: rowUnits[rowIndex], generation, isFirstStart: options.isFirstStart && isMissing, now, latest, leaseMs, restMs,
			});
			const next: Part = {units: renewal.units, endsAt: askedAt + leaseMs, clockOffset: offset};
			if (part !== undefined) {
				// Others may get what this daemon returns as soon as the row is written.
				part.units = Math.min(part.units, next.units);
			}

			return {
				row: renewal.row,
				commit() {
					if ((table.generation?.() ?? 0) !== generation || hasLeft) {
						return;
					}

					if (part?.units !== next.units || holders !== renewal.holders) {
						log.info('Part of the retries of all daemons has changed.', {units: next.units, count: renewal.holders, path: key});
					}

					part = next;
					({holders} = renewal);
					otherEnds = new Map(renewal.row.holders.filter(holder => holder.name !== name).map(holder => [holder.name, holder.until]));
					isLapseLogged = false;
					growsInMs = renewal.growsAt === undefined ? undefined : Math.max(0, renewal.growsAt - now);
				},
			};
		});
		const usualMs = renewMs * (1 - (renewSpread * random()));
		return isRenewed ? Math.min(usualMs, (growsInMs ?? Number.POSITIVE_INFINITY) + (conflictPauseMs * random())) : errorPauseMs;
	};

	const renew = async (): Promise<void> => {
		if (isRenewing) {
			return;
		}

		isRenewing = true;
		let pauseMs = errorPauseMs;
		try {
			pauseMs = await renewOnce();
		} catch (error) {
			log.debug('Part of the retries could not be renewed.', {path: key, err: error});
		} finally {
			isRenewing = false;
		}

		if (heldUnits() === 0 && part !== undefined && !isLapseLogged) {
			isLapseLogged = true;
			log.warn('Part of the retries of all daemons has lapsed, since it could not be renewed.', {path: key});
		}

		schedule(pauseMs);
	};

	return {
		units() {
			if (isSuspected()) {
				// Other daemons may have got the units meanwhile.
				part = undefined;
				schedule(0);
			}

			return heldUnits();
		},
		holders: () => holders,
		others() {
			const now = options.tableMs() ?? Number.POSITIVE_INFINITY;
			return [...otherEnds].filter(([, until]) => until > now).map(([other, until]) => ({name: other, renewedMsAgo: now + leaseMs - until}));
		},
		rowCount: rowUnits.length,
		forget(other) {
			otherEnds.delete(other);
		},
		start() {
			if (rowUnits[rowIndex] > 0) {
				void renew();
			}
		},
		async leave() {
			hasLeft = true;
			clearTimeout(timer);
			const held = heldUnits();
			const wasStarted = part !== undefined;
			part = undefined;
			if (!wasStarted) {
				return;
			}

			try {
				await update(({row = emptyRow, latest}) => ({
					row: returnPart(row, {
						name, incarnation, held, latest, restMs,
					}),
					commit: () => undefined,
				}));
			} catch (error) {
				log.debug('Part of the retries could not be returned; it ends by itself.', {path: key, err: error});
			}
		},
	};
}
