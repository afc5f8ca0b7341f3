/** Reads service-level objects back, each count once. */
import {type ObjectClient} from '../../platform/platform.js';
import {createSilentLog, type Log} from '../log.js';
import {createCoverage, intervalSchema, type ServiceLevelInterval} from './interval.js';
import {
	type Level, levels, root, spanOfName,
} from './object-names.js';

export type ReadIntervalsOptions = {
	objects: ObjectClient;
	/** Only intervals that end after this time, in milliseconds since 1970. */
	since: number;
	/** Raw objects to read at most, 2,000 by default; merges are always read. */
	mostRaw?: number;
	log?: Log;
};

/** What was read, and what was not. */
export type IntervalReading = {
	/** Objects that could not be read or counted only in part. */
	leftOut: number;
	/** Raw objects beyond `mostRaw`: the newest minutes are not all in. */
	notRead: number;
};

const defaultMostRaw = 2000;

/**
 * Hands each interval to `take`, coarse ones first and one at a time, so that
 * memory does not grow with the time that is looked back.
 *
 * @throws PlatformUnavailableError when the store is out.
 */
export async function readIntervals(options: ReadIntervalsOptions, take: (interval: ServiceLevelInterval) => void): Promise<IntervalReading> {
	const {objects, since, mostRaw = defaultMostRaw, log = createSilentLog()} = options;
	const coverage = createCoverage();
	const reading: IntervalReading = {leftOut: 0, notRead: 0};
	for (const level of ['hour', 'slot', 'raw'] as const) {
		const names = await listSince(objects, level, since);
		const chosen = level === 'raw' ? names.slice(0, mostRaw) : names;
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
				takeRecent(interval, since, take);
			}
		}
	}

	return reading;
}

function takeRecent(interval: ServiceLevelInterval, since: number, take: (interval: ServiceLevelInterval) => void): void {
	if (interval.to > since) {
		take(interval);
	}
}

async function listSince(objects: ObjectClient, level: Level, since: number): Promise<string[]> {
	const names = await objects.list(`${root}/${level}/`);
	return names.filter(name => (spanOfName(name) ?? 0) + levels[level].spanMs > since);
}

/**
 * Reads one object; `undefined` when it is gone or is none of ours. A broken
 * object must not end every report for days, so it is logged and passed over.
 */
export async function readInterval(objects: ObjectClient, name: string, log: Log): Promise<ServiceLevelInterval | undefined> {
	const content = await objects.get(name);
	if (content === undefined) {
		return undefined;
	}

	try {
		return intervalSchema.parse(JSON.parse(new TextDecoder().decode(content)));
	} catch (error) {
		log.warn('A service-level object can not be read.', {path: name, err: error});
		return undefined;
	}
}
