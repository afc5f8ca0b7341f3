/**
 * Counts the results of requests and writes the counts to the object store once
 * per interval. If a VM is lost, at most its current interval is lost, and what it
 * could not write because the store was unavailable.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import type hdr from 'hdr-histogram-js';
import {type ObjectClient} from '../../platform/platform.js';
import {createSilentMetrics} from '../collecting-metrics.js';
import {createSilentLog, type Log} from '../log.js';
import {type Metrics} from '../metrics.js';
import {
	createFirstTokenHistogram, createRow, encodeHistogram, recordFirstToken, rowKey, type ServiceLevelInterval, type ServiceLevelResult, type ServiceLevelRow,
} from './interval.js';
import {rawObjectName} from './object-names.js';

/** The end of one request. */
export type ServiceLevelEvent = {
	workspace: string;
	service: string;
	result: ServiceLevelResult;
	/** Milliseconds from the request's arrival to its first token; absent if there was none. */
	firstTokenMs?: number;
};

/** Records the end of each request. */
export type ServiceLevels = {
	record: (event: ServiceLevelEvent) => void;
	/**
	 * Closes the current interval and writes it. Never throws: a failed write is
	 * retried by the next call.
	 *
	 * @returns whether everything was written.
	 */
	flush: () => Promise<boolean>;
	/** Flushes once per interval until `stop`, which flushes a last time. */
	start: () => void;
	stop: () => Promise<void>;
};

export type ServiceLevelsOptions = {
	daemon: string;
	/** Identifies the daemon process; different for each process of the same name. */
	incarnation: string;
	objects: ObjectClient;
	/** Milliseconds between writes; 60,000 by default. For large fleets see docs/CAPACITY.md. */
	intervalMs?: number;
	/** Random number from 0 to below 1; spreads the first writes of daemons that start together over an interval. */
	random?: () => number;
	log?: Log;
	metrics?: Metrics;
};

const defaultIntervalMs = 60_000;

/** Rows encoded per turn of the event loop; a row takes about 0.1 ms. */
const rowsPerTurn = 16;

type OpenInterval = {from: number; rows: Map<string, {row: ServiceLevelRow; histogram?: hdr.Histogram}>};

type SealedInterval = {name: string; content: Uint8Array};

/**
 * Creates the recorder of one daemon.
 *
 * @example
 * const levels = createServiceLevels({daemon: 'hw-1', incarnation: '7', objects: platform.objects});
 * levels.start();
 * levels.record({workspace: 'school-1', service: 'wordsmith', result: 'answered', firstTokenMs: 180});
 */
export function createServiceLevels(options: ServiceLevelsOptions): ServiceLevels {
	const {objects, intervalMs = defaultIntervalMs, random = Math.random, log = createSilentLog(), metrics = createSilentMetrics()} = options;
	let open: OpenInterval = {from: Date.now(), rows: new Map()};
	let sealed: SealedInterval | undefined;
	let sequence = 0;
	let pendingFlush: Promise<boolean> | undefined;
	let timer: NodeJS.Timeout | undefined;

	/**
	 * At most one sealed interval waits for the store, while the open one goes on
	 * counting. So an outage needs no memory beyond the rows, and a write whose
	 * response was lost is repeated with the same name and content.
	 */
	const seal = async (): Promise<void> => {
		const closed = open;
		open = {from: Date.now(), rows: new Map()};
		sequence++;
		const interval: ServiceLevelInterval = {
			layout: 1,
			from: closed.from,
			to: open.from,
			sources: [{daemon: options.daemon, incarnation: options.incarnation, sequences: [[sequence, sequence]]}],
			rows: await encodeRows(closed),
		};
		sealed = {
			name: rawObjectName(interval.to, options.daemon, options.incarnation, sequence),
			content: new TextEncoder().encode(JSON.stringify(interval)),
		};
	};

	const write = async (): Promise<boolean> => {
		if (sealed === undefined && open.rows.size === 0) {
			return true;
		}

		if (sealed === undefined) {
			await seal();
		}

		return writeSealed();
	};

	const writeSealed = async (): Promise<boolean> => {
		if (sealed === undefined) {
			return true;
		}

		try {
			await objects.put(sealed.name, sealed.content);
		} catch (error) {
			metrics.count('service_levels.flushes', 1, {result: 'failed'});
			log.warn('Service levels could not be written to the object store; the write is retried.', {err: error});
			return false;
		}

		metrics.count('service_levels.flushes', 1, {result: 'answered'});
		sealed = undefined;
		return open.rows.size === 0;
	};

	const flush = async (): Promise<boolean> => {
		pendingFlush ??= write().finally(() => {
			pendingFlush = undefined;
		});
		return pendingFlush;
	};

	const schedule = (ms: number): void => {
		timer = setTimeout(() => {
			void flushAndSchedule();
		}, ms);
		timer.unref();
	};

	const flushAndSchedule = async (): Promise<void> => {
		await flush();
		if (timer !== undefined) {
			schedule(intervalMs);
		}
	};

	return {
		record(event) {
			const key = rowKey(event.workspace, event.service);
			let openRow = open.rows.get(key);
			if (openRow === undefined) {
				openRow = {row: createRow(event.workspace, event.service)};
				open.rows.set(key, openRow);
			}

			openRow.row[event.result]++;
			if (event.firstTokenMs !== undefined) {
				openRow.histogram ??= createFirstTokenHistogram();
				recordFirstToken(openRow.histogram, event.firstTokenMs);
			}
		},
		flush,
		start() {
			schedule(intervalMs * random());
		},
		async stop() {
			clearTimeout(timer);
			timer = undefined;
			// The first call may only await a write that had already started.
			const isDone = await flush();
			if (!isDone) {
				await flush();
			}
		},
	};
}

/** Yields to the event loop regularly: encoding all rows of a large fleet at once would delay every stream. */
async function encodeRows(interval: OpenInterval): Promise<ServiceLevelRow[]> {
	const rows: ServiceLevelRow[] = [];
	for (const [key, {row, histogram}] of interval.rows) {
		// Frees the row, since the next interval grows meanwhile and two full ones need twice the memory.
		interval.rows.delete(key);
		rows.push(histogram === undefined ? row : {...row, firstTokenMs: encodeHistogram(histogram)});
		if (rows.length % rowsPerTurn === 0) {
			await nextTurn();
		}
	}

	return rows;
}
