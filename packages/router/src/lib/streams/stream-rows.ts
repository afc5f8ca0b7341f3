/**
 * Stores where streams began while a service has several software versions, so that they can go on
 * after all daemons were lost at once. Each daemon writes a row of its own. Daemons that start read all
 * rows, in a large fleet only two, which answer the others. Where a stream began never changes, so old rows do no harm.
 */
import {z} from 'zod';
import {type Log} from '../observability/log.js';
import {type TableClient, type TableRow} from '../platform/platform.js';
import {createPeriodicTask, type PeriodicTask} from '../time/periodic-task.js';
import {type SoftwareHistory} from './software-history.js';
import {readsRecords, recordTimes} from './software-record.js';
import {type StreamOrigins, streamReportSchema} from './stream-origins.js';

/** Options of {@link createStreamRows}; durations in milliseconds. */
export type StreamRowsOptions = {
	table: TableClient;
	/** Name of this daemon. */
	name: string;
	origins: Pick<StreamOrigins, 'reportedCount' | 'latestReports' | 'applyPeerReport'>;
	history: Pick<SoftwareHistory, 'isComplete'>;
	/** Whether this daemon reads the rows of a large fleet. */
	isKeeper: () => boolean;
	/** Number of daemons, including silent ones. */
	fleetSize: () => number;
	/** Longest time for which a caller may take up a stream again. */
	streamMs: () => number;
	/** The store's clock; `undefined` before its first response. */
	storeMs: () => number | undefined;
	log: Log;
};

const prefix = 'streams/';

/** Interval of a daemon's writes for each daemon of the fleet, in milliseconds; 20 writes a second for all together. */
const writeMsPerDaemon = 50;

const rowSchema = z.object({
	/** The store's clock at the time of writing, in milliseconds. */
	at: z.number(),
	streams: z.array(streamReportSchema),
});

type StreamRow = z.infer<typeof rowSchema>;

/** Creates the task that writes and reads rows when that is due. */
export function createStreamRows(options: StreamRowsOptions): PeriodicTask {
	const {table, name, origins, log} = options;
	let isRead = false;
	let writtenAt = Number.NEGATIVE_INFINITY;
	let writtenCount = 0;

	const writeIfDue = async (): Promise<void> => {
		const at = options.storeMs();
		const count = origins.reportedCount();
		if (at === undefined || count === writtenCount || performance.now() - writtenAt < options.fleetSize() * writeMsPerDaemon) {
			return;
		}

		const reports = origins.latestReports();
		if (reports.length === 0) {
			return;
		}

		writtenAt = performance.now();
		await table.transact([{key: prefix + name, value: JSON.stringify({at, streams: reports} satisfies StreamRow)}]);
		writtenCount = count;
	};

	const parse = ({key, value}: TableRow): StreamRow | undefined => {
		try {
			return rowSchema.parse(JSON.parse(value));
		} catch (error) {
			log.warn('Stored streams are invalid.', {path: key, err: error});
			return undefined;
		}
	};

	const read = async (): Promise<void> => {
		const rows = await table.list({prefix});
		const expiredAt = (options.storeMs() ?? 0) - options.streamMs();
		for (const row of rows) {
			const stored = parse(row);
			if (stored !== undefined && stored.at >= expiredAt) {
				origins.applyPeerReport(stored.streams);
			} else {
				await table.transact([{key: row.key, value: null, ifVersion: row.version}]);
			}
		}

		isRead = true;
		log.info('Stored streams were read.', {count: rows.length});
	};

	const readOrWrite = async (): Promise<void> => {
		if (!isRead && !options.history.isComplete() && readsRecords(options.fleetSize(), options.isKeeper())) {
			await read();
		}

		await writeIfDue();
	};

	return createPeriodicTask({
		...recordTimes,
		run: readOrWrite,
		onError(err) {
			log.debug('Stored streams could not be read or written.', {err});
		},
	});
}
