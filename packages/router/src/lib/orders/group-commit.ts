/**
 * Batches conditional writes into transactions of the table service, which
 * accepts only several hundred transactions per second.
 *
 * While a transaction is in flight, further groups are queued for the next one:
 * a busy process writes larger transactions, an idle one does not wait. A slow
 * transaction does not block the queue, since its connection may be dead and all
 * orders would wait for it.
 */
import {PlatformUnavailableError} from '../platform/platform-errors.js';
import {type TableClient, type TableRow, type TableWrite} from '../platform/platform.js';
import {OrderNotWrittenError, OrderStoreError} from './orders-errors.js';

/** Writes that must take effect together. */
export type WriteGroup = {
	writes: TableWrite[];
	/** Key of the row that is read to find out whether the group took effect if the response is lost. */
	readBackKey: string;
	/** Whether that row, as read back, shows that the group took effect. */
	isApplied: (row: TableRow) => boolean;
};

/** Result of a group. */
export type GroupResult
	= | {committed: true; version: number}
	/** A condition did not hold: another writer came first. */
		| {committed: false};

/** Options of {@link createGroupCommit}. */
export type GroupCommitOptions = {
	table: TableClient;
	/** Maximum number of concurrent transactions; 4 by default. */
	maxInFlight?: number;
	/** Called for each transaction with its number of writes. */
	onTransaction?: (writes: number) => void;
};

/** Commits groups of writes. */
export type GroupCommit = {
	/**
	 * Commits a group, possibly in one transaction with others.
	 *
	 * @throws {OrderNotWrittenError} The group waited too long and was never sent.
	 * @throws {OrderStoreError} The write failed, or its response was lost and reading
	 * back did not show the group. It may still take effect later.
	 */
	commit: (group: WriteGroup) => Promise<GroupResult>;
};

type QueuedGroup = {
	group: WriteGroup;
	resolve: (result: GroupResult) => void;
	reject: (error: unknown) => void;
};

const maxWrites = 25;
const defaultMaxInFlight = 4;
/** Milliseconds after which queued groups no longer wait for a transaction in flight. */
const slowTransactionMs = 50;
/** Milliseconds that a group may stay queued. */
const maxQueueMs = 1000;

function countWrites(queue: readonly QueuedGroup[]): number {
	let count = 0;
	for (const {group} of queue) {
		count += group.writes.length;
	}

	return count;
}

/** Takes the groups from the queue that fit into one transaction, which may write a key only once. */
function takeBatch(queue: QueuedGroup[]): QueuedGroup[] {
	const batch: QueuedGroup[] = [];
	const keys = new Set<string>();
	let count = 0;
	while (queue.length > 0) {
		const {writes} = queue[0].group;
		if (batch.length > 0 && (count + writes.length > maxWrites || writes.some(write => keys.has(write.key)))) {
			break;
		}

		for (const write of writes) {
			keys.add(write.key);
		}

		count += writes.length;
		batch.push(queue.shift()!);
	}

	return batch;
}

/** Creates the group commit of one process. */
export function createGroupCommit(options: GroupCommitOptions): GroupCommit {
	const {table} = options;
	const queue: QueuedGroup[] = [];
	const maxInFlight = options.maxInFlight ?? defaultMaxInFlight;
	let inFlight = 0;
	let lastStart = 0;

	/** Settles a group whose response was lost by reading its row back. */
	const readBack = async ({group, resolve, reject}: QueuedGroup, cause: unknown) => {
		try {
			const row = await table.get(group.readBackKey);
			if (row !== undefined && group.isApplied(row)) {
				resolve({committed: true, version: row.version});
				return;
			}

			reject(new OrderStoreError('The table gave no answer to a write, and the write does not show. It may show later.', {cause}));
		} catch (error) {
			reject(new OrderStoreError('The table answers neither writes nor reads. Nothing is dispatched without a record.', {cause: error}));
		}
	};

	const commitBatch = async (batch: QueuedGroup[]) => {
		let rest = batch;
		while (rest.length > 0) {
			const writes = rest.flatMap(pending => pending.group.writes);
			options.onTransaction?.(writes.length);
			const result = await table.transact(writes);
			if (result.committed) {
				for (const {group, resolve} of rest) {
					resolve({committed: true, version: result.versions[group.readBackKey]});
				}

				return;
			}

			// Groups without a conflict must not fail with those that have one: they are sent again.
			const conflicts = new Set(result.conflicts.map(conflict => conflict.key));
			const again: QueuedGroup[] = [];
			for (const pending of rest) {
				if (pending.group.writes.some(write => conflicts.has(write.key))) {
					pending.resolve({committed: false});
				} else {
					again.push(pending);
				}
			}

			if (again.length === rest.length) {
				throw new OrderStoreError('The table named a conflict on a row that was not written.');
			}

			rest = again;
		}
	};

	const run = async () => {
		inFlight++;
		lastStart = performance.now();
		const slowTimer = setTimeout(pump, slowTransactionMs);
		const batch = takeBatch(queue);
		try {
			await commitBatch(batch);
		} catch (error) {
			const lost = error instanceof PlatformUnavailableError;
			await Promise.all(batch.map(async pending => {
				if (lost) {
					await readBack(pending, error);
				} else {
					pending.reject(new OrderStoreError('The table did not take a write of the record of orders.', {cause: error}));
				}
			}));
		} finally {
			inFlight--;
			clearTimeout(slowTimer);
			pump();
		}
	};

	const mayStart = () => {
		const isFree = inFlight === 0 || performance.now() - lastStart >= slowTransactionMs;
		return queue.length > 0 && inFlight < maxInFlight && (isFree || countWrites(queue) >= maxWrites);
	};

	const pump = () => {
		while (mayStart()) {
			void run();
		}
	};

	/**
	 * Rejects a group that is still queued. While the store does not respond, each
	 * transaction lasts until its timeout, and orders would be queued for minutes
	 * before they are refused as not run.
	 */
	const rejectQueued = (pending: QueuedGroup) => {
		const index = queue.indexOf(pending);
		if (index !== -1) {
			queue.splice(index, 1);
			pending.reject(new OrderNotWrittenError('The table is slower than writes to it come. This one was never sent.'));
		}
	};

	return {
		async commit(group) {
			return new Promise((resolve, reject) => {
				const pending = {group, resolve, reject};
				queue.push(pending);
				setTimeout(() => {
					rejectQueued(pending);
				}, maxQueueMs).unref();
				// Groups of the same event loop turn share a transaction.
				setImmediate(pump);
			});
		},
	};
}
