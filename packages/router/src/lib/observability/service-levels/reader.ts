/** Reads service-level objects and counts each interval once. */
import {type ObjectClient} from '../../platform/platform.js';
import {createSilentLog, type Log} from '../log.js';
import {createCoverage, intervalSchema, type ServiceLevelInterval} from './interval.js';
import {
	type Level, levels, root, spanStartOfName,
} from './object-names.js';

export type ReadIntervalsOptions = {
	objects: ObjectClient;
	/** Reads only intervals that end after this time, in milliseconds since 1970. */
	since: number;
	/** Maximum number of raw objects to read, 2,000 by default; merged objects are always read. */
	maxRawObjects?: number;
	log?: Log;
};

/** Numbers of objects that were not counted. */
export type IntervalReading = {
	/** Objects that could not be read, or of whose intervals some were counted already. */
	leftOut: number;
	/** Raw objects beyond `maxRawObjects`: some of the newest minutes are missing. */
	notRead: number;
};

const defaultMaxRawObjects = 2000;

/**
 * Calls `onInterval` with each interval, coarse ones first and one at a time, so
 * that memory use does not grow with the time range.
 *
 * @throws PlatformUnavailableError if the object store is unavailable.
 */
export async function readIntervals(options: ReadIntervalsOptions, onInterval: (interval: ServiceLevelInterval) => void): Promise<IntervalReading> {
	const {objects, since, maxRawObjects = defaultMaxRawObjects, log = createSilentLog()} = options;
	const coverage = createCoverage();
	const reading: IntervalReading = {leftOut: 0, notRead: 0};
	for (const level of ['hour', 'slot', 'raw'] as const) {
		const names = await listSince(objects, level, since);
		const chosen = level === 'raw' ? names.slice(0, maxRawObjects) : names;
		reading.notRead += names.length - chosen.length;
		for (const name of chosen) {
			const interval = await readInterval(objects, name, log);
			const overlap = interval === undefined ? 'some' : coverage.overlap(interval.sources);
			if (interval === undefined || overlap === 'some') {
				reading.leftOut++;
				continue;
			}

			if (overlap === 'none') {
				coverage.add(interval.sources);
				deliverIfRecent(interval, since, onInterval);
			}
		}
	}

	return reading;
}

function deliverIfRecent(interval: ServiceLevelInterval, since: number, onInterval: (interval: ServiceLevelInterval) => void): void {
	if (interval.to > since) {
		onInterval(interval);
	}
}

async function listSince(objects: ObjectClient, level: Level, since: number): Promise<string[]> {
	const names = await objects.list(`${root}/${level}/`);
	return names.filter(name => (spanStartOfName(name) ?? 0) + levels[level].spanMs > since);
}

/**
 * Reads one object; `undefined` if it does not exist or is invalid. An invalid
 * object is logged and skipped, since it would make every report fail for days.
 */
export async function readInterval(objects: ObjectClient, name: string, log: Log): Promise<ServiceLevelInterval | undefined> {
	const content = await objects.get(name);
	if (content === undefined) {
		return undefined;
	}

	try {
		return intervalSchema.parse(JSON.parse(new TextDecoder().decode(content)));
	} catch (error) {
		log.warn('Service-level object is invalid and is skipped.', {path: name, err: error});
		return undefined;
	}
}
