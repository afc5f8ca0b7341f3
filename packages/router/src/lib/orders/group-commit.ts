/**
 * Batches conditional writes into transactions of the table service, which
 * takes only several hundred a second.
 *
 * While a transaction is under way, further groups wait for the next one, so a
 * busy process writes fuller transactions and an idle one waits for nobody. They
 * do not wait for one that takes long: its connection may have gone silent, and
 * every order would stand still behind it.
 */
import {PlatformUnavailableError} from '../platform/platform-errors.js';
import {type TableClient, type TableRow, type TableWrite} from '../platform/platform.js';
import {OrderNotWrittenError, OrderStoreError} from './orders-errors.js';

/** Writes that must take effect together. */
export type WriteGroup = {
	writes: TableWrite[];
	/** Key of the row that tells, when an answer was lost, whether the group took effect. */
	proofKey: string;
	/** Whether that row, as it is now, shows that the group took effect. */
	isProof: (row: TableRow) => boolean;
};

/** What became of a group. */
export type GroupResult
	= | {committed: true; version: number}
	/** A condition did not hold: another writer came first. */
		| {committed: false};

/** Options of {@link createGroupCommit}. */
export type GroupCommitOptions = {
	table: TableClient;
	/** Transactions under way at once; 4 by default. */
	mostUnderWay?: number;
	/** Told of each transaction, with the number of its writes. */
	onTransaction?: (writes: number) => void;
};

/** Commits groups of writes. */
export type GroupCommit = {
	/**
	 * Commits a group, sharing a transaction with others.
	 *
	 * @throws {OrderNotWrittenError} The group waited too long, and was never sent.
	 * @throws {OrderStoreError} The store gave no answer, and reading back did not
	 * show the group. It may still take effect later.
	 */
	commit: (group: WriteGroup) => Promise<GroupResult>;
};

type Pending = {
	group: WriteGroup;
	resolve: (result: GroupResult) => void;
	reject: (error: unknown) => void;
};

const mostWrites = 25;
const defaultMostUnderWay = 4;
/** Milliseconds that groups wait for a transaction under way. */
const patienceMs = 50;
/** Milliseconds that a group waits to be sent. */
const longestWaitMs = 1000;

function countWrites(queue: readonly Pending[]): number {
	let count = 0;
	for (const {group} of queue) {
		count += group.writes.length;
	}

	return count;
}

/** Takes from the queue what fits one transaction; a key is written once in it. */
function takeBatch(queue: Pending[]): Pending[] {
	const batch: Pending[] = [];
	const keys = new Set<string>();
	let count = 0;
	while (queue.length > 0) {
		const {writes} = queue[0].group;
		if (batch.length > 0 && (count + writes.length > mostWrites || writes.some(write => keys.has(write.key)))) {
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

/** Creates the committer of one process. */
export function createGroupCommit(options: GroupCommitOptions): GroupCommit {
	const {table} = options;
	const queue: Pending[] = [];
	const mostUnderWay = options.mostUnderWay ?? defaultMostUnderWay;
	let underWay = 0;
	let lastStart = 0;

	/** Settles a lost answer by reading back each group's own row. */
	const readBack = async ({group, resolve, reject}: Pending, cause: unknown) => {
		try {
			const row = await table.get(group.proofKey);
			if (row !== undefined && group.isProof(row)) {
				resolve({committed: true, version: row.version});
				return;
			}

			reject(new OrderStoreError('The table gave no answer to a write, and the write does not show. It may show later.', {cause}));
		} catch (error) {
			reject(new OrderStoreError('The table answers neither writes nor reads. Nothing is dispatched without a record.', {cause: error}));
		}
	};

	const commitBatch = async (batch: Pending[]) => {
		let rest = batch;
		while (rest.length > 0) {
			const writes = rest.flatMap(pending => pending.group.writes);
			options.onTransaction?.(writes.length);
			const result = await table.transact(writes);
			if (result.committed) {
				for (const {group, resolve} of rest) {
					resolve({committed: true, version: result.versions[group.proofKey]});
				}

				return;
			}

			// One lost race must not fail the others of the batch: they go again.
			const conflicts = new Set(result.conflicts.map(conflict => conflict.key));
			const again: Pending[] = [];
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
		underWay++;
		lastStart = performance.now();
		const patience = setTimeout(pump, patienceMs);
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
			underWay--;
			clearTimeout(patience);
			pump();
		}
	};

	const mayStart = () => {
		const isFree = underWay === 0 || performance.now() - lastStart >= patienceMs;
		return queue.length > 0 && underWay < mostUnderWay && (isFree || countWrites(queue) >= mostWrites);
	};

	const pump = () => {
		while (mayStart()) {
			void run();
		}
	};

	/**
	 * While the store is silent, each transaction takes as long as its limit, and
	 * orders would stand in the queue for minutes before they hear "not run".
	 */
	const giveUp = (pending: Pending) => {
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
					giveUp(pending);
				}, longestWaitMs).unref();
				// Groups of one turn of the loop share a transaction.
				setImmediate(pump);
			});
		},
	};
}
