/**
 * What daemons count of each workspace and service, in a form that merges: any
 * grouping and order of merges gives the same counts as one daemon that saw
 * every request.
 */
import {z} from 'zod';
import hdr from 'hdr-histogram-js';

/** What became of one request, as far as service levels go. */
export const serviceLevelResults = [
	/** The caller got the whole answer. */
	'answered',
	/** It was taken in and not answered whole. */
	'failed',
	/** Refused because the workspace had spent its rate and burst. */
	'refused_rightly',
	/** Refused though the workspace was inside its rate. */
	'refused_wrongfully',
	/** The caller went away first; no objective counts it. */
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
	/** Compressed histogram of milliseconds to the first token; absent when none came. */
	firstTokenMs: z.string().optional(),
});

const sourceSchema = z.strictObject({
	daemon: z.string(),
	/** Process of the daemon; another one counts its intervals from 1 again. */
	incarnation: z.string(),
	/** First and last interval of each run without a gap. */
	sequences: z.array(z.tuple([count, count])),
});

/** Layout of an object in the store: one interval of one daemon, or a merge of many. */
export const intervalSchema = z.strictObject({
	layout: z.literal(1),
	/** Milliseconds since 1970 of the first and the last request that may be inside. */
	from: z.number(),
	to: z.number(),
	/** Whose intervals are inside; by this nothing is counted twice. */
	sources: z.array(sourceSchema),
	rows: z.array(rowSchema),
});

/** Counts of one workspace and service. */
export type ServiceLevelRow = z.infer<typeof rowSchema>;
/** Counts of a span of time, with whose they are. */
export type ServiceLevelInterval = z.infer<typeof intervalSchema>;
export type IntervalSource = z.infer<typeof sourceSchema>;

/** Longest time to a first token that is told apart, in milliseconds. */
export const longestFirstTokenMs = 600_000;

/** Creates an empty histogram of milliseconds: 1 to 600,000, exact to 1 in 100. */
export function createFirstTokenHistogram(): hdr.Histogram {
	return hdr.build({
		lowestDiscernibleValue: 1, highestTrackableValue: longestFirstTokenMs, numberOfSignificantValueDigits: 2, bitBucketSize: 32,
	});
}

/** Records milliseconds, cut to what the histogram holds. */
export function recordFirstToken(histogram: hdr.Histogram, ms: number): void {
	histogram.recordValue(Math.min(longestFirstTokenMs, Math.max(1, Math.round(ms))));
}

export const encodeHistogram = (histogram: hdr.Histogram): string => hdr.encodeIntoCompressedBase64(histogram);
export const decodeHistogram = (text: string): hdr.Histogram => hdr.decodeFromCompressedBase64(text);

/** Which intervals of which daemons were seen; see {@link createCoverage}. */
export type Coverage = {
	/** `none`, `all` or `some` of the sources are inside already. */
	overlap: (sources: readonly IntervalSource[]) => 'none' | 'all' | 'some';
	add: (sources: readonly IntervalSource[]) => void;
	/** Everything inside, in runs without gaps. */
	sources: () => IntervalSource[];
};

/**
 * Remembers intervals. A store's answer can be lost after the write took
 * effect, and a merger can die between writing a merge and removing its parts;
 * either way the same counts stand in the store twice. By their sources the
 * second copy is known and left out.
 */
export function createCoverage(): Coverage {
	const seen = new Map<string, {daemon: string; incarnation: string; sequences: Set<number>}>();
	const keyOf = (source: IntervalSource): string => `${source.daemon}/${source.incarnation}`;
	return {
		overlap(sources) {
			let inside = 0;
			let total = 0;
			for (const source of sources) {
				const known = seen.get(keyOf(source))?.sequences;
				for (const sequence of expandRuns(source.sequences)) {
					total++;
					inside += known?.has(sequence) === true ? 1 : 0;
				}
			}

			if (inside === 0) {
				return 'none';
			}

			return inside === total ? 'all' : 'some';
		},
		add(sources) {
			for (const source of sources) {
				const known = seen.get(keyOf(source)) ?? {daemon: source.daemon, incarnation: source.incarnation, sequences: new Set<number>()};
				seen.set(keyOf(source), known);
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

/** How many of the recorded values are at most `ms`, to the histogram's 1 in 100. */
export function countWithin(histogram: hdr.Histogram, ms: number): number {
	if (!(histogram instanceof hdr.JsHistogram)) {
		return 0;
	}

	const last = histogram.countsArrayIndex(Math.min(ms, longestFirstTokenMs));
	let within = 0;
	for (let index = 0; index <= last; index++) {
		within += histogram.getCountAtIndex(index);
	}

	return within;
}

type OpenRow = {row: ServiceLevelRow; histogram?: hdr.Histogram};

/** Adds intervals up; see {@link createMerge}. */
export type Merge = {
	/** Returns false, and adds nothing, when any of it was added before. */
	add: (interval: ServiceLevelInterval) => boolean;
	/** `undefined` when nothing was added. */
	finish: () => ServiceLevelInterval | undefined;
};

/** Starts a merge. Memory grows with workspaces times services, not with the intervals added. */
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
				layout: 1, from, to, sources: coverage.sources(), rows: [...rows.values()].map(open => closeRow(open)),
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

function closeRow({row, histogram}: OpenRow): ServiceLevelRow {
	return histogram === undefined ? row : {...row, firstTokenMs: encodeHistogram(histogram)};
}

/** Names hold no slash, so this cannot be taken for another pair. */
export const rowKey = (workspace: string, service: string): string => `${workspace}/${service}`;

/** A row with every count at nought. */
export function createRow(workspace: string, service: string): ServiceLevelRow {
	return {
		workspace, service, answered: 0, failed: 0, refused_rightly: 0, refused_wrongfully: 0, cancelled: 0,
	};
}
