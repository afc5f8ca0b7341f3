/**
 * Stores orders: which process may dispatch one, and its outcome.
 *
 * Before a process dispatches an order it writes an intent, a row in the state
 * `pending`. Only the writer dispatches it, and no other process takes it over,
 * so an order has one dispatcher even if that process is paused for long.
 */
import {type TableClient, type TableRow} from '../platform/platform.js';
import {pause} from '../time/pause.js';
import {type GroupCommit} from './group-commit.js';
import {
	type AnsweredOrder, closingWrites, openingWrites, type OrderRow, parseOrder, type PendingOrder,
} from './order-rows.js';
import {OrderNotWrittenError, OrderStoreError} from './orders-errors.js';

/** An intent that this process wrote and that only it may dispatch. */
export type ClaimedOrder = {
	key: string;
	row: PendingOrder;
	/** Version of the row as written. */
	version: number;
};

/** An order as stored in the table. */
export type FoundOrder = {row: OrderRow; version: number};

/** Result of claiming the right to dispatch an order. */
export type Claim
	= | {kind: 'mine'; order: ClaimedOrder}
		| {kind: 'existing'; found: FoundOrder};

/** An outcome to record. */
export type OrderOutcome
	= | {state: 'answered'; status: number | null; headers: readonly string[]; body: string | null; trailers: readonly string[]; by: string}
		| {state: 'unknown'; endpoint: string; reason: string}
		| {state: 'released'; by: string};

/** Options of {@link createOrderStore}. */
export type OrderStoreOptions = {
	table: TableClient;
	groupCommit: GroupCommit;
	/** Milliseconds that an order with an outcome is kept. */
	keepMs: number;
	/** Milliseconds during which a failed write is retried. */
	persistMs: number;
};

/** Reads and writes orders. */
export type OrderStore = {
	/**
	 * Writes an intent, unless the key already has an order.
	 *
	 * @throws {OrderStoreError} Nothing may be dispatched. If the intent was or
	 * will be written nevertheless, it is released in the background.
	 */
	claim: (key: string, row: PendingOrder) => Promise<Claim>;
	/** @throws {OrderStoreError} */
	find: (key: string) => Promise<FoundOrder | undefined>;
	/** Records an outcome, with retries while the store is down. Resolves to `false` on failure. */
	finish: (order: ClaimedOrder, end: OrderOutcome) => Promise<boolean>;
	/** Records the outcome of an order without an intent. Resolves to `false` on failure. */
	record: (key: string, row: PendingOrder, end: OrderOutcome) => Promise<boolean>;
	/** Resolves once no write is in flight. */
	settled: () => Promise<void>;
};

/** The table accepts 65,536 characters per row. */
const maxRowCharacters = 65_000;
const maxClaimRounds = 3;
const firstPauseMs = 50;
const maxPauseMs = 2000;

/** Drops headers, body and trailers of a response that does not fit into a row; its status stays. */
function fitToRowLimit(row: AnsweredOrder): AnsweredOrder {
	return JSON.stringify(row).length <= maxRowCharacters
		? row
		: {
			...row, headers: [], body: null, trailers: [],
		};
}

/** Creates the row of an order that has an outcome. */
export function rowWithOutcome(row: OrderRow, end: OrderOutcome): OrderRow {
	const {
		token, digest, requestId, workspace, service, method, path, createdMs, giveUpMs,
	} = row;
	const base = {
		token, digest, requestId, workspace, service, method, path, createdMs, giveUpMs,
	};
	if (end.state === 'answered') {
		const answered: AnsweredOrder = {
			...base, ...end, headers: [...end.headers], trailers: [...end.trailers],
		};
		return fitToRowLimit(answered);
	}

	return {...base, ...end};
}

/** Creates the order store of one process. */
export function createOrderStore(options: OrderStoreOptions): OrderStore {
	const {table, groupCommit} = options;
	const writesInFlight = new Set<Promise<unknown>>();

	const track = async <Result>(work: Promise<Result>): Promise<Result> => {
		writesInFlight.add(work);
		try {
			return await work;
		} finally {
			writesInFlight.delete(work);
		}
	};

	const find = async (key: string): Promise<FoundOrder | undefined> => {
		let row: TableRow | undefined;
		try {
			row = await table.get(key);
		} catch (error) {
			throw new OrderStoreError('The record of an order cannot be read.', {cause: error});
		}

		return row === undefined ? undefined : {row: parseOrder(row.value), version: row.version};
	};

	/** Retries on store errors until `persistMs` have passed. */
	const persist = async (attempt: () => Promise<boolean>): Promise<boolean> => {
		const end = performance.now() + options.persistMs;
		let pauseMs = firstPauseMs;
		for (;;) {
			try {
				return await attempt();
			} catch (error) {
				if (!(error instanceof OrderStoreError) || performance.now() + pauseMs >= end) {
					return false;
				}
			}

			await pause(pauseMs);
			pauseMs = Math.min(2 * pauseMs, maxPauseMs);
		}
	};

	const isStored = async (key: string, row: OrderRow) => {
		const found = await find(key);
		return found?.row.token === row.token && found.row.state === row.state;
	};

	/** Resolves to `false` if another writer came first. */
	const write = async (key: string, row: OrderRow, version: number): Promise<boolean> => {
		const result = await groupCommit.commit({
			// An unknown outcome stays in the open index until someone settles it.
			writes: row.state === 'unknown'
				? openingWrites(key, row, version)
				: closingWrites(key, row, version, Date.now() + options.keepMs),
			readBackKey: key,
			isApplied: found => isSameRow(found, row),
		});
		// The conflict may stem from an earlier attempt of this write whose response was lost.
		return result.committed || isStored(key, row);
	};

	/**
	 * Releases an intent that was never dispatched and whose write may still take
	 * effect. Writing a released row makes a late write of the intent fail its
	 * condition; otherwise the key would stay unknown for good.
	 */
	const release = async (key: string, row: PendingOrder, ifVersion: number) => persist(async () => {
		const found = await find(key);
		const version = found?.version ?? 0;
		if (version !== ifVersion && found?.row.token !== row.token) {
			return true;
		}

		if (found?.row.token === row.token && found.row.state !== 'pending') {
			return true;
		}

		if (await write(key, rowWithOutcome(row, {state: 'released', by: 'dispatcher'}), version)) {
			return true;
		}

		throw new OrderStoreError('The late write of an intent came first. It is released next.');
	});

	/** Resolves to the version of the written intent, or `undefined` if another writer came first. */
	const tryClaim = async (key: string, row: PendingOrder, ifVersion: number) => {
		try {
			const result = await groupCommit.commit({
				writes: openingWrites(key, row, ifVersion),
				readBackKey: key,
				isApplied: shown => isSameRow(shown, row),
			});
			return result.committed ? result.version : undefined;
		} catch (error) {
			if (!(error instanceof OrderNotWrittenError)) {
				void track(release(key, row, ifVersion));
			}

			throw error;
		}
	};

	return {
		async claim(key, row) {
			// The key is usually new, so it is claimed without a read first.
			let ifVersion = 0;
			for (let round = 0; round < maxClaimRounds; round++) {
				const version = await tryClaim(key, row, ifVersion);
				if (version !== undefined) {
					return {kind: 'mine', order: {key, row, version}};
				}

				const found = await find(key);
				if (found !== undefined && found.row.state !== 'released') {
					return {kind: 'existing', found};
				}

				ifVersion = found?.version ?? 0;
			}

			throw new OrderStoreError('Other writers of this order came first, and released it each time.');
		},
		find,
		async finish(order, end) {
			const row = rowWithOutcome(order.row, end);
			return track(persist(async () => write(order.key, row, order.version)));
		},
		async record(key, row, end) {
			return track(persist(async () => write(key, rowWithOutcome(row, end), 0)));
		},
		async settled() {
			while (writesInFlight.size > 0) {
				await Promise.allSettled(writesInFlight);
			}
		},
	};
}

function isSameRow(found: TableRow, row: OrderRow): boolean {
	const shown = parseOrder(found.value);
	return shown.token === row.token && shown.state === row.state;
}
