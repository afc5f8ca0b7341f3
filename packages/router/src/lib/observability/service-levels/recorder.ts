/**
 * Counts what callers got, and writes the counts to the object store once an
 * interval. A lost VM loses at most the interval that it was in, and those it
 * could not write because the store was out.
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

/** One request that ended. */
export type ServiceLevelEvent = {
	workspace: string;
	service: string;
	result: ServiceLevelResult;
	/** Milliseconds from the request's arrival to its first token; absent when none came. */
	firstTokenMs?: number;
};

/** Where the gateway reports each request's end. */
export type ServiceLevels = {
	record: (event: ServiceLevelEvent) => void;
	/**
	 * Seals what was counted and writes it. Never throws: what could not be
	 * written is tried again by the next call.
	 *
	 * @returns whether nothing is left to write.
	 */
	flush: () => Promise<boolean>;
	/** Flushes every interval until `stop`, which flushes once more. */
	start: () => void;
	stop: () => Promise<void>;
};

export type ServiceLevelsOptions = {
	daemon: string;
	/** Process of the daemon; unlike every earlier one of the same name. */
	incarnation: string;
	objects: ObjectClient;
	/** Milliseconds between writes, 60,000 by default; see docs/CAPACITY.md for large fleets. */
	intervalMs?: number;
	/** From 0 to below 1; spreads the first write of a herd of daemons over an interval. */
	random?: () => number;
	log?: Log;
	metrics?: Metrics;
};

const defaultIntervalMs = 60_000;

/** Rows that are encoded before other work gets its turn; one takes about a tenth of a millisecond. */
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
	let running: Promise<boolean> | undefined;
	let timer: NodeJS.Timeout | undefined;

	/**
	 * One sealed interval at most waits for the store, and the open one goes on
	 * meanwhile. So an outage costs no memory beyond the rows, and a write whose
	 * answer was lost is repeated with the same name and content.
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
			log.warn('Service levels wait for the object store.', {err: error});
			return false;
		}

		metrics.count('service_levels.flushes', 1, {result: 'answered'});
		sealed = undefined;
		return open.rows.size === 0;
	};

	const flush = async (): Promise<boolean> => {
		running ??= write().finally(() => {
			running = undefined;
		});
		return running;
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
			let counted = open.rows.get(key);
			if (counted === undefined) {
				counted = {row: createRow(event.workspace, event.service)};
				open.rows.set(key, counted);
			}

			counted.row[event.result]++;
			if (event.firstTokenMs !== undefined) {
				counted.histogram ??= createFirstTokenHistogram();
				recordFirstToken(counted.histogram, event.firstTokenMs);
			}
		},
		flush,
		start() {
			schedule(intervalMs * random());
		},
		async stop() {
			clearTimeout(timer);
			timer = undefined;
			// The first call may only finish a write that was under way.
			const isDone = await flush();
			if (!isDone) {
				await flush();
			}
		},
	};
}

/** Encoding a large fleet's rows at once would hold up every stream. */
async function encodeRows(interval: OpenInterval): Promise<ServiceLevelRow[]> {
	const rows: ServiceLevelRow[] = [];
	for (const [key, {row, histogram}] of interval.rows) {
		// The next interval fills up meanwhile; two whole ones would cost twice the memory.
		interval.rows.delete(key);
		rows.push(histogram === undefined ? row : {...row, firstTokenMs: encodeHistogram(histogram)});
		if (rows.length % rowsPerTurn === 0) {
			await nextTurn();
		}
	}

	return rows;
}
