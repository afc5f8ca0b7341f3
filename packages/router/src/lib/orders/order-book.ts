/**
 * The record of orders: who may dispatch one, and what became of it.
 *
 * Only the writer of an intent ever dispatches it, and nobody takes an intent
 * over. A dispatcher that is paused for however long is then still the only one.
 */
import {type TableClient, type TableRow} from '../platform/platform.js';
import {pause} from '../time/pause.js';
import {type GroupCommit} from './group-commit.js';
import {
	type AnsweredOrder, closingWrites, openingWrites, type OrderRow, parseOrder, type PendingOrder,
} from './order-rows.js';
import {OrderNotWrittenError, OrderStoreError} from './orders-errors.js';

/** An intent that this process wrote, and alone may dispatch. */
export type ClaimedOrder = {
	key: string;
	row: PendingOrder;
	/** Version of the row as written. */
	version: number;
};

/** An order as it stands in the table. */
export type FoundOrder = {row: OrderRow; version: number};

/** What came of asking for the right to dispatch an order. */
export type Claim
	= | {kind: 'mine'; order: ClaimedOrder}
		| {kind: 'existing'; found: FoundOrder};

/** An outcome to record. */
export type OrderEnd
	= | {state: 'answered'; status: number | null; headers: readonly string[]; body: string | null; trailers: readonly string[]; by: string}
		| {state: 'unknown'; endpoint: string; reason: string}
		| {state: 'released'; by: string};

/** Options of {@link createOrderBook}. */
export type OrderBookOptions = {
	table: TableClient;
	groupCommit: GroupCommit;
	/** Milliseconds that an order with an outcome is kept. */
	keepMs: number;
	/** Milliseconds during which a write that failed is tried again. */
	persistMs: number;
};

/** The record of orders. */
export type OrderBook = {
	/**
	 * Writes an intent, unless the key has one already.
	 *
	 * @throws {OrderStoreError} Nothing may be dispatched. If the intent was or
	 * will be written all the same, it is released in the background.
	 */
	claim: (key: string, row: PendingOrder) => Promise<Claim>;
	/** @throws {OrderStoreError} */
	find: (key: string) => Promise<FoundOrder | undefined>;
	/** Records an outcome, trying again while the store is down. Resolves to false when it could not. */
	finish: (order: ClaimedOrder, end: OrderEnd) => Promise<boolean>;
	/** Records the outcome of an order that had no intent. Resolves to false when it could not. */
	record: (key: string, row: PendingOrder, end: OrderEnd) => Promise<boolean>;
	/** Resolves once no write is under way. */
	settled: () => Promise<void>;
};

/** The table takes 65,536 characters in a row. */
const mostRowCharacters = 65_000;
const mostClaimRounds = 3;
const firstPauseMs = 50;
const longestPauseMs = 2000;

/** An answer that no row can hold is kept as having come, without what it said. */
function fitted(row: AnsweredOrder): AnsweredOrder {
	return JSON.stringify(row).length <= mostRowCharacters
		? row
		: {
			...row, headers: [], body: null, trailers: [],
		};
}

/** Row of an order that ended. */
export function endedRow(row: OrderRow, end: OrderEnd): OrderRow {
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
		return fitted(answered);
	}

	return {...base, ...end};
}

/** Creates the record of orders of one process. */
export function createOrderBook(options: OrderBookOptions): OrderBook {
	const {table, groupCommit} = options;
	const underWay = new Set<Promise<unknown>>();

	const track = async <Result>(work: Promise<Result>): Promise<Result> => {
		underWay.add(work);
		try {
			return await work;
		} finally {
			underWay.delete(work);
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

	/** Tries again until done, refused, or out of time. */
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
			pauseMs = Math.min(2 * pauseMs, longestPauseMs);
		}
	};

	const showsMine = async (key: string, row: OrderRow) => {
		const found = await find(key);
		return found?.row.token === row.token && found.row.state === row.state;
	};

	/** `false` when another writer came first. */
	const write = async (key: string, row: OrderRow, version: number): Promise<boolean> => {
		const result = await groupCommit.commit({
			// An unknown outcome stays in the open index until someone settles it.
			writes: row.state === 'unknown'
				? openingWrites(key, row, version)
				: closingWrites(key, row, version, Date.now() + options.keepMs),
			proofKey: key,
			isProof: found => showsRow(found, row),
		});
		// An earlier try, whose answer was lost, may be what came first.
		return result.committed || showsMine(key, row);
	};

	/**
	 * Closes an intent that was never dispatched and whose write may show at any
	 * time. A released row in its place keeps a late write from taking effect, so
	 * that the key is not left unknown for good.
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

		if (await write(key, endedRow(row, {state: 'released', by: 'dispatcher'}), version)) {
			return true;
		}

		throw new OrderStoreError('The late write of an intent came first. It is released next.');
	});

	/** Version of the written intent; `undefined` when another writer came first. */
	const tryClaim = async (key: string, row: PendingOrder, ifVersion: number) => {
		try {
			const result = await groupCommit.commit({
				writes: openingWrites(key, row, ifVersion),
				proofKey: key,
				isProof: shown => showsRow(shown, row),
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
			// A new key is the usual case, and is claimed without a read before.
			let ifVersion = 0;
			for (let round = 0; round < mostClaimRounds; round++) {
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
			const row = endedRow(order.row, end);
			return track(persist(async () => write(order.key, row, order.version)));
		},
		async record(key, row, end) {
			return track(persist(async () => write(key, endedRow(row, end), 0)));
		},
		async settled() {
			while (underWay.size > 0) {
				await Promise.allSettled(underWay);
			}
		},
	};
}

function showsRow(found: TableRow, row: OrderRow): boolean {
	const shown = parseOrder(found.value);
	return shown.token === row.token && shown.state === row.state;
}
