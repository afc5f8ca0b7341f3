/**
 * Stores refusals in the table service, so that they survive a restart of all daemons and reach
 * daemons that receive no reports from peers. Claims are granted by conditional writes.
 */
import {z} from 'zod';
import {type Log} from '../observability/log.js';
import {type TableClient, type TableRow} from '../platform/platform.js';
import {type Refusal, type RefusalStore} from './quarantine.js';

const prefix = 'refused/';

const rowSchema = z.object({
	term: z.int().min(1),
	/** End of the term in milliseconds, by the store's clock. */
	dueMs: z.number(),
});

/** Options of {@link createRefusalStore}; durations in milliseconds. */
export type RefusalStoreOptions = {
	table: TableClient;
	/** The store's monotonic clock in milliseconds; `undefined` before its first response. */
	storeMs: () => number | undefined;
	/** Called with the stored refusals. */
	onRefusals: (refusals: readonly Refusal[]) => void;
	/** Whether no reports arrive although there are peers. */
	isIsolated: () => boolean;
	log: Log;
};

/** A store that also reads its rows. */
export type RefusalRows = RefusalStore & {
	/** Reads the rows until one read succeeds, and repeatedly while isolated. */
	start: () => void;
	close: () => void;
};

const pollMs = 1000;
/** Time after the end of its term at which an unclaimed row is removed. */
const staleMs = 3_600_000;
const maxWrites = 3;

/** Creates a store; it makes no calls until started or used. */
export function createRefusalStore({table, storeMs, onRefusals, isIsolated, log}: RefusalStoreOptions): RefusalRows {
	let timer: NodeJS.Timeout | undefined;
	let isRead = false;
	let isClosed = false;

	const parse = (row: TableRow): z.infer<typeof rowSchema> | undefined => {
		try {
			return rowSchema.parse(JSON.parse(row.value));
		} catch (error) {
			log.warn('Stored refusal is invalid.', {err: error});
			return undefined;
		}
	};

	const valueOf = ({term, msLeft}: Refusal): string => JSON.stringify({term, dueMs: Math.round((storeMs() ?? 0) + msLeft)});

	/** Replaces a refusal of an earlier term; returns false if the stored term isn't earlier or the row changed meanwhile. */
	const write = async (refusal: Refusal): Promise<boolean> => {
		const key = prefix + refusal.digest;
		const row = await table.get(key);
		const known = row && parse(row);
		if (known !== undefined && known.term >= refusal.term) {
			return false;
		}

		const {committed} = await table.transact([{key, value: valueOf(refusal), ifVersion: row?.version ?? 0}]);
		return committed;
	};

	const saveWithRetries = async (refusal: Refusal, writesLeft: number): Promise<void> => {
		try {
			await write(refusal);
		} catch (error) {
			log.warn('Refusal could not be stored.', {digest: refusal.digest, err: error});
			if (writesLeft > 1 && !isClosed) {
				setTimeout(() => {
					void saveWithRetries(refusal, writesLeft - 1);
				}, pollMs).unref();
			}
		}
	};

	const read = async (): Promise<void> => {
		const rows = await table.list({prefix});
		const now = storeMs();
		if (now === undefined) {
			return;
		}

		const refusals: Refusal[] = [];
		const stale: string[] = [];
		for (const row of rows) {
			const known = parse(row);
			if (known === undefined || now - known.dueMs > staleMs) {
				stale.push(row.key);
			} else {
				refusals.push({digest: row.key.slice(prefix.length), term: known.term, msLeft: Math.max(0, known.dueMs - now)});
			}
		}

		isRead = true;
		onRefusals(refusals);
		for (const key of stale) {
			await table.transact([{key, value: null}]);
		}
	};

	const poll = async (): Promise<void> => {
		if (!isRead || isIsolated()) {
			try {
				await read();
			} catch (error) {
				log.debug('Refusals could not be read.', {err: error});
			}
		}

		if (!isClosed) {
			timer = setTimeout(() => {
				void poll();
			}, pollMs);
		}
	};

	return {
		save(refusal) {
			void saveWithRetries(refusal, maxWrites);
		},
		async claim(refusal) {
			try {
				return await write(refusal);
			} catch (error) {
				log.warn('Refused request could not be claimed.', {digest: refusal.digest, err: error});
				return false;
			}
		},
		remove(digest) {
			table.transact([{key: prefix + digest, value: null}]).catch((error: unknown) => {
				log.warn('Stored refusal could not be removed.', {digest, err: error});
			});
		},
		start() {
			void poll();
		},
		close() {
			isClosed = true;
			clearTimeout(timer);
		},
	};
}
