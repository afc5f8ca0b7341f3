/**
 * Merges service-level objects, so that a report reads a bounded number of
 * them, and removes old ones. Any daemon may merge: a merge is written only
 * where none stands, so of two that race one wins and the other's work is void.
 */
import {type ObjectClient} from '../../platform/platform.js';
import {createSilentLog, type Log} from '../log.js';
import {createCoverage, createMerge, type ServiceLevelInterval} from './interval.js';
import {
	hourMs, type Level, levels, mergedObjectName, root, slotMs, spanOfName, spanPrefix,
} from './object-names.js';
import {readInterval} from './reader.js';

export type ServiceLevelMergerOptions = {
	objects: ObjectClient;
	/**
	 * Whether this daemon merges the span that starts then; for example
	 * rendezvous hashing over live daemons. More than one only wastes work.
	 */
	isMine?: (level: Level, start: number) => boolean;
	/** Milliseconds after the end of a span before it is merged; 120,000 by default. */
	graceMs?: number;
	/** Milliseconds that merges are kept; four days by default. */
	keepMs?: number;
	/** Milliseconds between two calls of the store, 10 by default: at most 100 a second. */
	paceMs?: number;
	log?: Log;
};

export type ServiceLevelMerger = {
	/** Merges what is due and removes what is old. Throws `PlatformUnavailableError`; call it again later. */
	run: () => Promise<{merged: number; removed: number}>;
};

const defaults = {graceMs: 120_000, keepMs: 4 * 24 * hourMs, paceMs: 10};

/** Creates the merger of one daemon. */
export function createServiceLevelMerger(options: ServiceLevelMergerOptions): ServiceLevelMerger {
	const {objects, isMine = () => true, log = createSilentLog()} = options;
	const {graceMs, keepMs, paceMs} = {...defaults, ...options};
	const pace = async (): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, paceMs);
	});

	const read = async (name: string): Promise<ServiceLevelInterval | undefined> => {
		await pace();
		return readInterval(objects, name, log);
	};

	const remove = async (names: readonly string[]): Promise<number> => {
		for (const name of names) {
			await pace();
			await objects.remove(name);
		}

		return names.length;
	};

	const listSpans = async (level: Level): Promise<Map<number, string[]>> => {
		const spans = new Map<number, string[]>();
		for (const name of await objects.list(`${root}/${level}/`)) {
			const start = spanOfName(name);
			if (start !== undefined) {
				spans.set(start, [...spans.get(start) ?? [], name]);
			}
		}

		return spans;
	};

	/** Merges the parts of one span; the parts go only after the merge stands. */
	const mergeSpan = async (to: Level, start: number, parts: readonly string[]): Promise<{merged: number; removed: number}> => {
		const coverage = createCoverage();
		const standing = await objects.list(spanPrefix(to, start));
		// A part that was merged before may stand again: its removal or its writer was late.
		const coarser = to === 'slot' ? await objects.list(spanPrefix('hour', start)) : [];
		for (const name of [...standing, ...coarser]) {
			const merged = await read(name);
			coverage.add(merged?.sources ?? []);
		}

		const merge = createMerge();
		const done: string[] = [];
		for (const name of parts) {
			const part = await read(name);
			if (part === undefined) {
				continue;
			}

			const overlap = coverage.overlap(part.sources);
			if (overlap === 'all' || (overlap === 'none' && merge.add(part))) {
				done.push(name);
			}
		}

		const merged = merge.finish();
		if (merged !== undefined) {
			const content = new TextEncoder().encode(JSON.stringify(merged));
			const isWritten = await objects.put(mergedObjectName(to, start, standing.length + 1), content, {ifAbsent: true});
			if (!isWritten) {
				return {merged: 0, removed: 0};
			}
		}

		return {merged: merged === undefined ? 0 : 1, removed: await remove(done)};
	};

	const mergeLevel = async (from: Level, to: Level): Promise<{merged: number; removed: number}> => {
		const total = {merged: 0, removed: 0};
		const due = new Map<number, string[]>();
		for (const [start, names] of await listSpans(from)) {
			const outer = Math.floor(start / levels[to].spanMs) * levels[to].spanMs;
			if (outer + levels[to].spanMs + graceMs <= Date.now() && isMine(to, outer)) {
				due.set(outer, [...due.get(outer) ?? [], ...names]);
			}
		}

		for (const [start, names] of due) {
			const {merged, removed} = await mergeSpan(to, start, names);
			total.merged += merged;
			total.removed += removed;
		}

		return total;
	};

	const prune = async (): Promise<number> => {
		let removed = 0;
		for (const level of ['raw', 'slot', 'hour'] as const) {
			for (const [start, names] of await listSpans(level)) {
				if (start + keepMs < Date.now() && isMine(level, start)) {
					removed += await remove(names);
				}
			}
		}

		return removed;
	};

	return {
		async run() {
			const removed = await prune();
			const slots = await mergeLevel('raw', 'slot');
			const hours = await mergeLevel('slot', 'hour');
			return {merged: slots.merged + hours.merged, removed: removed + slots.removed + hours.removed};
		},
	};
}

/** Milliseconds between two runs of the merger that keep up with the spans. */
export const mergeEveryMs = slotMs / 2;
