/** A table client that injects faults from a script. */
import {PlatformUnavailableError, type TableClient} from 'hickorywalk/platform.js';
import {type TableFault} from './history.js';

const slowMs = 1500;
const delayedMs = 4000;

async function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Wraps a table client; every call consumes the next fault of the script. */
export function createFaultyTable(table: TableClient, script: TableFault[]): TableClient {
	const next = async (): Promise<TableFault> => {
		const fault = script.shift() ?? 'none';
		await pause(fault === 'slow' ? slowMs : 1);
		return fault;
	};

	const readFaults = new Set<TableFault>(['dropped', 'lost', 'delayed']);
	const unavailable = (maybeApplied: boolean) => new PlatformUnavailableError('The table call failed by an injected fault.', maybeApplied);
	const read = async <Result>(work: () => Promise<Result>): Promise<Result> => {
		if (readFaults.has(await next())) {
			throw unavailable(false);
		}

		return work();
	};

	return {
		get: async key => read(async () => table.get(key)),
		list: async range => read(async () => table.list(range)),
		async transact(writes) {
			const fault = await next();
			if (fault === 'dropped') {
				throw unavailable(true);
			}

			if (fault === 'delayed') {
				// The write takes effect after the caller has given up and read the row back.
				setTimeout(() => {
					void table.transact(writes);
				}, delayedMs);
				throw unavailable(true);
			}

			const result = await table.transact(writes);
			if (fault === 'lost') {
				throw unavailable(true);
			}

			return result;
		},
	};
}
