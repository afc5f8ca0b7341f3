/**
 * A secret that all daemons of the fleet share, by which they know each other's requests. The first
 * daemon writes it to the store; whoever can't read the store doesn't know it.
 */
import {type Log} from '../observability/log.js';
import {type TableClient} from '../platform/platform.js';

/** Options of {@link createFleetKey}. */
export type FleetKeyOptions = {
	table: TableClient;
	/** Returns a new secret. */
	generate: () => string;
	log: Log;
};

/** The secret. */
export type FleetKey = {
	/** `undefined` until the store has responded. */
	current: () => string | undefined;
	/** Reads it from the store; while the store doesn't respond, the read is repeated. */
	refresh: () => void;
	close: () => void;
};

const rowKey = 'fleet-key';
const retryMs = 1000;

/** Secrets are sent in a header; any other text in the row was written by another program. */
const keyPattern = /^[\w\-]{1,64}$/v;

/** Creates the secret; it makes no calls until it is refreshed. */
export function createFleetKey({table, generate, log}: FleetKeyOptions): FleetKey {
	let key: string | undefined;
	let timer: NodeJS.Timeout | undefined;
	let isReading = false;

	/** After a restore of the store from an older copy, or a write of another program, a daemon that knows the secret writes it again. */
	const readOrWrite = async (): Promise<void> => {
		const row = await table.get(rowKey);
		if (row !== undefined && keyPattern.test(row.value)) {
			key = row.value;
			return;
		}

		const value = key ?? generate();
		const result = await table.transact([{key: rowKey, value, ifVersion: row?.version ?? 0}]);
		if (result.committed) {
			key = value;
			return;
		}

		const other = await table.get(rowKey);
		key = other !== undefined && keyPattern.test(other.value) ? other.value : undefined;
	};

	const run = async (): Promise<void> => {
		isReading = true;
		try {
			await readOrWrite();
		} catch (error) {
			log.debug('Fleet key could not be read or written.', {err: error});
			timer = setTimeout(refresh, retryMs);
		} finally {
			isReading = false;
		}
	};

	const refresh = (): void => {
		clearTimeout(timer);
		if (!isReading) {
			void run();
		}
	};

	return {
		current: () => key,
		refresh,
		close() {
			clearTimeout(timer);
		},
	};
}
