/** Lists, looks up and settles orders whose outcome is unknown, and deletes expired orders. */
import {type Endpoint, type PlainService} from '../configuration/document.js';
import {type TableClient, type TableRow} from '../platform/platform.js';
import {type GroupCommit} from './group-commit.js';
import {rowWithOutcome, type FoundOrder, type OrderOutcome} from './order-store.js';
import {
	closingWrites, expiryPrefix, indexedOrder, indexTime, openPrefix, parseOrder,
} from './order-rows.js';
import {OrderNotUnknownError, OrderStoreError, OrderTooRecentError} from './orders-errors.js';
import {type StatusLookUp} from './status-look-up.js';

/** Finds a plain service and its endpoints by name; returns `undefined` if there is none. */
export type ServiceDirectory = (service: string) => {service: PlainService; endpoints: readonly Endpoint[]} | undefined;

/** An order that was or may have been sent to an endpoint and has no known outcome. */
export type UnknownOrder = {
	/** Id for {@link UnknownOrders.settleUnknownOrder}. */
	id: string;
	workspace: string;
	service: string;
	/** Request id that was sent to the endpoint. */
	requestId: string;
	method: string;
	path: string;
	/** Wall-clock time in milliseconds. */
	createdMs: number;
	/** Endpoint to which it was sent; empty if its dispatcher was lost. */
	endpoint: string;
	/** Why the outcome is unknown. */
	reason: string;
};

/** Outcome of an order that an operator established. */
export type Settlement = 'ran' | 'not_run';

/** The operations on orders that operators use. */
export type UnknownOrders = {
	/**
	 * Lists orders without a known outcome, oldest first. Endpoints that offer a
	 * status look-up are asked first; orders that they report as run are settled.
	 *
	 * @throws {OrderStoreError}
	 */
	listUnknownOrders: () => Promise<UnknownOrder[]>;
	/**
	 * Records the outcome that an operator established.
	 *
	 * @throws {OrderNotUnknownError} The order has an outcome, or is in progress.
	 * @throws {OrderTooRecentError} It may still be in transit: too early for `not_run`.
	 * @throws {OrderStoreError}
	 */
	settleUnknownOrder: (id: string, outcome: Settlement, who: string) => Promise<void>;
	/** Deletes expired orders and resolves to their number. To be called periodically. */
	sweepExpiredOrders: () => Promise<number>;
};

/** Options of {@link createUnknownOrders}. */
export type UnknownOrdersOptions = {
	table: TableClient;
	groupCommit: GroupCommit;
	directory: ServiceDirectory;
	lookUp: StatusLookUp;
	/** In milliseconds; see the limits of the service proxy. */
	limits: {clockMarginMs: number; settleAfterMs: number; keepMs: number};
};

const pageSize = 500;
/** A transaction takes 25 writes, and a deletion needs two. */
const sweepBatchSize = 12;

/** Creates the operations on orders that operators use. */
export function createUnknownOrders(options: UnknownOrdersOptions): UnknownOrders {
	const {limits} = options;

	const read = async <Result>(work: () => Promise<Result>): Promise<Result> => {
		try {
			return await work();
		} catch (error) {
			throw new OrderStoreError('The record of orders cannot be read.', {cause: error});
		}
	};

	const find = async (id: string): Promise<FoundOrder | undefined> => {
		const row = await read(async () => options.table.get(id));
		return row === undefined ? undefined : {row: parseOrder(row.value), version: row.version};
	};

	const isUnknown = ({row}: FoundOrder) => row.state === 'unknown'
		|| (row.state === 'pending' && Date.now() > row.giveUpMs + limits.clockMarginMs);

	const settle = async (id: string, found: FoundOrder, end: OrderOutcome): Promise<boolean> => {
		const row = rowWithOutcome(found.row, end);
		const result = await options.groupCommit.commit({
			writes: closingWrites(id, row, found.version, Date.now() + limits.keepMs),
			readBackKey: id,
			isApplied(shown) {
				const now = parseOrder(shown.value);
				return now.token === row.token && now.state === row.state;
			},
		});
		return result.committed;
	};

	/** Looks the order up at the service's endpoints; resolves to `true` if that settled it. */
	const askEndpoints = async (id: string, found: FoundOrder): Promise<boolean> => {
		const entry = options.directory(found.row.service);
		for (const endpoint of entry?.endpoints ?? []) {
			const known = await options.lookUp(entry!.service, endpoint, found.row.requestId);
			if (known !== undefined) {
				return settle(id, found, {
					state: 'answered', status: known.status, headers: [], body: null, trailers: [], by: 'status look-up',
				});
			}
		}

		return false;
	};

	const listRows = async function * (prefix: string): AsyncGenerator<TableRow> {
		let after: string | undefined;
		for (;;) {
			const range = {prefix, limit: pageSize, ...(after === undefined ? {} : {after})};
			const rows = await read(async () => options.table.list(range));
			yield * rows;
			if (rows.length < pageSize) {
				return;
			}

			after = rows.at(-1)!.key;
		}
	};

	const deleteExpired = async (index: TableRow): Promise<boolean> => {
		const id = indexedOrder(index.value);
		const found = await find(id);
		const token = index.key.split('/').at(-1);
		// A released key may have a newer order by now, which must stay.
		const expired = found?.row.token === token ? found : undefined;
		const result = await options.groupCommit.commit({
			writes: [
				{key: index.key, value: null},
				...(expired === undefined ? [] : [{key: id, value: null, ifVersion: expired.version}]),
			],
			readBackKey: index.key,
			isApplied: () => false,
		});
		return expired !== undefined && result.committed;
	};

	return {
		async listUnknownOrders() {
			const unknown: UnknownOrder[] = [];
			for await (const index of listRows(openPrefix)) {
				const id = indexedOrder(index.value);
				const found = await find(id);
				if (found === undefined || !isUnknown(found) || await askEndpoints(id, found)) {
					continue;
				}

				const {row} = found;
				unknown.push({
					id,
					workspace: row.workspace,
					service: row.service,
					requestId: row.requestId,
					method: row.method,
					path: row.path,
					createdMs: row.createdMs,
					endpoint: row.state === 'unknown' ? row.endpoint : '',
					reason: row.state === 'unknown' ? row.reason : 'dispatcher_lost',
				});
			}

			return unknown;
		},
		async settleUnknownOrder(id, outcome, who) {
			const found = await find(id);
			if (found === undefined || !isUnknown(found)) {
				throw new OrderNotUnknownError(`Order ${id} is not one whose outcome is unknown. List the unknown orders again.`);
			}

			// By the time an order is settled as never run, a dispatcher that resumes
			// from a pause must find its time to dispatch long over and its idle
			// connections closed.
			const settleableAtMs = found.row.giveUpMs + limits.settleAfterMs;
			if (outcome === 'not_run' && Date.now() < settleableAtMs) {
				throw new OrderTooRecentError(`Order ${id} may still be on its way. Settle it as never run from ${new Date(settleableAtMs).toISOString()} on.`, settleableAtMs);
			}

			const end: OrderOutcome = outcome === 'not_run'
				? {state: 'released', by: who}
				: {
					state: 'answered', status: null, headers: [], body: null, trailers: [], by: who,
				};
			if (!await settle(id, found, end)) {
				throw new OrderNotUnknownError(`Order ${id} got an outcome meanwhile. List the unknown orders again.`);
			}
		},
		async sweepExpiredOrders() {
			let deleted = 0;
			let batch: TableRow[] = [];
			const deleteBatch = async () => {
				const results = await Promise.all(batch.map(async index => deleteExpired(index)));
				deleted += results.filter(Boolean).length;
				batch = [];
			};

			for await (const index of listRows(expiryPrefix)) {
				if (indexTime(index.key) > Date.now()) {
					break;
				}

				batch.push(index);
				if (batch.length === sweepBatchSize) {
					await deleteBatch();
				}
			}

			await deleteBatch();
			return deleted;
		},
	};
}
