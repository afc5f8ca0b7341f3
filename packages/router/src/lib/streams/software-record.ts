/**
 * Records in the store which software version alone has served each service, so that daemons know it
 * after all of them were lost at once. A record holds as of a version of the store. It is believed only
 * if the same processes are still listed, and the store's history shows that none was removed since.
 */
import {z} from 'zod';
import {type ChangeSource, HistoryGoneError} from '../fleet/change-source.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {shortDigest} from '../fleet/short-digest.js';
import {type Log} from '../observability/log.js';
import {type TableClient} from '../platform/platform.js';
import {orderedBy} from '../routing/rendezvous.js';
import {createPeriodicTask, type PeriodicTask} from '../time/periodic-task.js';
import {type SoftwareHistory} from './software-history.js';

/** Options of {@link createSoftwareRecord}. */
export type SoftwareRecordOptions = {
	table: TableClient;
	view: Pick<FleetView, 'endpointsOf'>;
	/** The endpoint list in the store. */
	source: Pick<ChangeSource<LiveEndpoint>, 'changes'>;
	history: Pick<SoftwareHistory, 'isComplete' | 'soleSoftware' | 'restore'>;
	/** Services whose streams callers may take up again. */
	services: () => readonly string[];
	/** Version of the store as of which this daemon knows the endpoint list; 0 before it has the list. */
	listedAt: () => number;
	/** Name of this daemon. */
	name: string;
	/** Names of the daemons that could keep the record, including this one. */
	names: () => readonly string[];
	/** Number of daemons, including silent ones. */
	fleetSize: () => number;
	/** Longest time in milliseconds for which a caller may take up a stream again. */
	streamMs: () => number;
	/** Timeout of a read of the store's history, in milliseconds. */
	timeoutMs: number;
	log: Log;
};

/** Daemons that read the records of a large fleet after a loss of all, and answer the others. The first of them writes this record. */
const keeperCount = 2;

/** Size of a fleet up to which each daemon reads the records itself; answers of late peers take too long. */
const maxReaders = 100;

/** Key of the row. */
const recordKey = 'software';

/** Times of the task in milliseconds; by the first one, a daemon knows the size of its fleet. */
export const recordTimes = {firstMs: 150, everyMs: 500};

/** Interval of writing an unchanged record in milliseconds; far shorter than the history of a store. */
const renewMs = 5000;

const recordSchema = z.object({
	/** Version of the store as of which the record holds. */
	position: z.number(),
	/** Milliseconds for which it has been so. */
	forMs: z.number(),
	/** Service, the version that has served it alone, digest of its processes. */
	sole: z.array(z.tuple([z.string(), z.string(), z.string()])),
});

type RecordRow = z.infer<typeof recordSchema>;

/** The keepers of the records among these daemons. */
export const recordKeepersOf = (names: readonly string[]): string[] => orderedBy(recordKey, names).slice(0, keeperCount);

/** Whether a daemon reads the records itself. */
export const readsRecords = (fleetSize: number, isKeeper: boolean): boolean => isKeeper || fleetSize <= maxReaders;

/** Creates the task that writes and reads the record when that is due. */
export function createSoftwareRecord(options: SoftwareRecordOptions): PeriodicTask {
	const {table, view, source, history, services, listedAt, log} = options;
	let isRead = false;
	let written: {sole: string; at: number} | undefined;

	/** Differs if any process of the service was started or has ended, also under an id that was used before. */
	const digestProcesses = (service: string): string => {
		const processes = view.endpointsOf(service).map(({id, startedAt}) => `${id} ${startedAt}`);
		return shortDigest(processes.toSorted());
	};

	const soleVersions = (): Array<[service: string, software: string]> => {
		const sole: Array<[string, string]> = [];
		for (const service of services()) {
			const software = history.soleSoftware(service);
			if (software !== undefined) {
				sole.push([service, software]);
			}
		}

		return sole;
	};

	const writeIfDue = async (): Promise<void> => {
		const sole = soleVersions();
		const text = JSON.stringify(sole);
		const isCurrent = written?.sole === text && performance.now() - written.at < renewMs;
		if (sole.length === 0 || isCurrent) {
			return;
		}

		const row: RecordRow = {position: listedAt(), forMs: options.streamMs(), sole: sole.map(([service, software]) => [service, software, digestProcesses(service)])};
		await table.transact([{key: recordKey, value: JSON.stringify(row)}]);
		written = {sole: text, at: performance.now()};
	};

	/**
	 * Whether an endpoint was removed between a version of the store and what this daemon has listed.
	 * @throws {HistoryGoneError} if the store no longer has the changes.
	 */
	const hasRemovals = async (position: number): Promise<boolean> => {
		const target = listedAt();
		let readUpTo = position;
		do {
			const {changes, version} = await source.changes(readUpTo, 0, options.timeoutMs);
			// A row that can't be decoded names no endpoint that streams began at; one that replaced an endpoint's changes the digest.
			if (changes.some(({item, text}) => item === undefined && text === undefined)) {
				return true;
			}

			if (version <= readUpTo && version < target) {
				throw new HistoryGoneError('The store has no changes up to the version that it has listed.');
			}

			readUpTo = version;
		} while (readUpTo < target);

		return false;
	};

	const restoreFrom = async ({position, forMs, sole}: RecordRow): Promise<void> => {
		// A removed endpoint may have been of any version.
		const isUnproven = forMs < options.streamMs() || await hasRemovals(position);
		for (const [service, software, digest] of sole) {
			const isProven = !isUnproven && digest === digestProcesses(service);
			if (isProven) {
				history.restore(service, software);
			}

			log.info('Recorded software version of a service was checked.', {service, software, reason: isProven ? 'proven' : 'unproven'});
		}
	};

	/** Reads the record until one read succeeds. */
	const read = async (): Promise<void> => {
		const row = await table.get(recordKey);
		try {
			if (row !== undefined) {
				await restoreFrom(recordSchema.parse(JSON.parse(row.value)));
			}
		} catch (error) {
			if (!(error instanceof HistoryGoneError || error instanceof SyntaxError || error instanceof z.ZodError)) {
				throw error;
			}

			log.info('Software versions of earlier streams are unknown.', {reason: 'record_unusable', err: error});
		}

		isRead = true;
	};

	const readOrWrite = async (): Promise<void> => {
		if (listedAt() === 0) {
			return;
		}

		const keepers = recordKeepersOf(options.names());
		if (!isRead && !history.isComplete() && readsRecords(options.fleetSize(), keepers.includes(options.name))) {
			await read();
		}

		if (keepers[0] === options.name) {
			await writeIfDue();
		}
	};

	return createPeriodicTask({
		...recordTimes,
		run: readOrWrite,
		onError(err) {
			log.debug('Record of software versions could not be read or written.', {err});
		},
	});
}
