/**
 * Mergeable request counts by workspace and service. Merging is commutative and
 * associative: any order and grouping gives the same counts as one daemon that
 * handled every request.
 */
import {z} from 'zod';
import hdr from 'hdr-histogram-js';

/** Results of a request for service levels. */
export const serviceLevelResults = [
	/** The caller got the complete response. */
	'answered',
	/** The request was admitted, but the caller got no complete response. */
	'failed',
	/** Refused because the workspace had used up its rate and burst. */
	'refused_rightly',
	/** Refused although the workspace was within its rate. */
	'refused_wrongfully',
	/** The caller disconnected first; not counted by any objective. */
	'cancelled',
] as const;

export type ServiceLevelResult = typeof serviceLevelResults[number];

const count = z.number().int().nonnegative();

const rowSchema = z.strictObject({
	workspace: z.string(),
	service: z.string(),
	answered: count,
	failed: count,
	refused_rightly: count,
	refused_wrongfully: count,
	cancelled: count,
	/** Compressed histogram of the time to first token in milliseconds; absent if no token was sent. */
	firstTokenMs: z.string().optional(),
});

const sourceSchema = z.strictObject({
	daemon: z.string(),
	/** Identifies the daemon process; each process numbers its intervals from 1. */
	incarnation: z.string(),
	/** First and last sequence number of each contiguous range of intervals. */
	sequences: z.array(z.tuple([count, count])),
});

/** Format of an object in the store: one interval of one daemon, or a merge of several. */
export const intervalSchema = z.strictObject({
	layout: z.literal(1),
	/** Start and end of the covered time, in milliseconds since 1970. */
	from: z.number(),
	to: z.number(),
	/** The intervals that are included; used to count none of them twice. */
	sources: z.array(sourceSchema),
	rows: z.array(rowSchema),
});

/** Counts for one workspace and service. */
export type ServiceLevelRow = z.infer<typeof rowSchema>;
/** Counts for a span of time, with their sources. */
export type ServiceLevelInterval = z.infer<typeof intervalSchema>;
export type IntervalSource = z.infer<typeof sourceSchema>;

/** Upper limit of the time to first token in the histogram, in milliseconds. */
export const maxFirstTokenMs = 600_000;

/** Creates an empty histogram of 1 to 600,000 milliseconds with two significant digits. */
export function createFirstTokenHistogram(): hdr.Histogram {
	return hdr.build({
		lowestDiscernibleValue: 1, highestTrackableValue: maxFirstTokenMs, numberOfSignificantValueDigits: 2, bitBucketSize: 32,
	});
}

/** Records a duration in milliseconds, clamped to the range of the histogram. */
export function recordFirstToken(histogram: hdr.Histogram, ms: number): void {
	histogram.recordValue(Math.min(maxFirstTokenMs, Math.max(1, Math.round(ms))));
}

export const encodeHistogram = (histogram: hdr.Histogram): string => hdr.encodeIntoCompressedBase64(histogram);
export const decodeHistogram = (text: string): hdr.Histogram => hdr.decodeFromCompressedBase64(text);

/** The set of intervals that were counted; see {@link createCoverage}. */
export type Coverage = {
	/** Returns whether `none`, `all` or `some` of the sources are in the set. */
	overlap: (sources: readonly IntervalSource[]) => 'none' | 'all' | 'some';
	add: (sources: readonly IntervalSource[]) => void;
	/** The whole set, as contiguous ranges. */
	sources: () => IntervalSource[];
};

/**
 * Creates an empty set of intervals, for deduplication. The same counts are in the
 * store twice if the response to a write was lost after the write took effect, or
 * if a merger died after writing a merge and before removing its parts. The sources
 * identify the second copy.
 */
export function createCoverage(): Coverage {
	const seen = new Map<string, {daemon: string; incarnation: string; sequences: Set<number>}>();
	const sourceKey = (source: IntervalSource): string => `${source.daemon}/${source.incarnation}`;
	return {
		overlap(sources) {
			let covered = 0;
			let total = 0;
			for (const source of sources) {
				const known = seen.get(sourceKey(source))?.sequences;
				for (const sequence of expandRuns(source.sequences)) {
					total++;
					covered += known?.has(sequence) === true ? 1 : 0;
				}
			}

			if (covered === 0) {
				return 'none';
			}

			return covered === total ? 'all' : 'some';
		},
		add(sources) {
			for (const source of sources) {
				const known = seen.get(sourceKey(source)) ?? {daemon: source.daemon, incarnation: source.incarnation, sequences: new Set<number>()};
				seen.set(sourceKey(source), known);
				for (const sequence of expandRuns(source.sequences)) {
					known.sequences.add(sequence);
				}
			}
		},
		sources: () => [...seen.values()].map(({daemon, incarnation, sequences}) => ({daemon, incarnation, sequences: findRuns(sequences)})),
	};
}

function * expandRuns(runs: ReadonlyArray<[number, number]>): Iterable<number> {
	for (const [first, last] of runs) {
		for (let sequence = first; sequence <= last; sequence++) {
			yield sequence;
		}
	}
}

function findRuns(sequences: ReadonlySet<number>): Array<[number, number]> {
	const runs: Array<[number, number]> = [];
	for (const sequence of [...sequences].toSorted((a, b) => a - b)) {
		const run = runs.at(-1);
		if (run?.[1] === sequence - 1) {
			run[1] = sequence;
			continue;
		}

		runs.push([sequence, sequence]);
	}

	return runs;
}

/** Returns how many recorded values are at most `ms`, within the histogram's precision of 1 %. */
export function countWithin(histogram: hdr.Histogram, ms: number): number {
	if (!(histogram instanceof hdr.JsHistogram)) {
		return 0;
	}

	const last = histogram.countsArrayIndex(Math.min(ms, maxFirstTokenMs));
	let within = 0;
	for (let index = 0; index <= last; index++) {
		within += histogram.getCountAtIndex(index);
	}

	return within;
}

type OpenRow = {row: ServiceLevelRow; histogram?: hdr.Histogram};

/** Sums intervals; see {@link createMerge}. */
export type Merge = {
	/** Returns false, and adds nothing, if any part of the interval was added before. */
	add: (interval: ServiceLevelInterval) => boolean;
	/** Returns the merge; `undefined` if nothing was added. */
	finish: () => ServiceLevelInterval | undefined;
};

/** Starts a merge. Memory use grows with workspaces times services, not with the number of intervals. */
export function createMerge(): Merge {
	const coverage = createCoverage();
	const rows = new Map<string, OpenRow>();
	let from = Number.POSITIVE_INFINITY;
	let to = Number.NEGATIVE_INFINITY;
	return {
		add(interval) {
			if (coverage.overlap(interval.sources) !== 'none') {
				return false;
			}

			coverage.add(interval.sources);
			from = Math.min(from, interval.from);
			to = Math.max(to, interval.to);
			for (const row of interval.rows) {
				addRow(rows, row);
			}

			return true;
		},
		finish() {
			if (to === Number.NEGATIVE_INFINITY) {
				return undefined;
			}

			return {
				layout: 1, from, to, sources: coverage.sources(), rows: [...rows.values()].map(open => finishRow(open)),
			};
		},
	};
}

function addRow(rows: Map<string, OpenRow>, row: ServiceLevelRow): void {
	const key = rowKey(row.workspace, row.service);
	let open = rows.get(key);
	if (open === undefined) {
		open = {row: createRow(row.workspace, row.service)};
		rows.set(key, open);
	}

	for (const result of serviceLevelResults) {
		open.row[result] += row[result];
	}

	if (row.firstTokenMs !== undefined) {
		open.histogram ??= createFirstTokenHistogram();
		open.histogram.add(decodeHistogram(row.firstTokenMs));
	}
}

function finishRow({row, histogram}: OpenRow): ServiceLevelRow {
	return histogram === undefined ? row : {...row, firstTokenMs: encodeHistogram(histogram)};
}

/** Key of a row. Unique, since names contain no slash. */
export const rowKey = (workspace: string, service: string): string => `${workspace}/${service}`;

/** Creates a row with all counts at 0. */
export function createRow(workspace: string, service: string): ServiceLevelRow {
	return {
		workspace, service, answered: 0, failed: 0, refused_rightly: 0, refused_wrongfully: 0, cancelled: 0,
	};
}
