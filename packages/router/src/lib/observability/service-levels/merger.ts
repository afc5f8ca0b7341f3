/**
 * Merges service-level objects, so that a report reads a bounded number of them,
 * and removes expired ones. Any daemon may merge: a merge is written only if its
 * name is unused, so of two concurrent merges one is written and the other dropped.
 */
import {type ObjectClient} from '../../platform/platform.js';
import {createSilentLog, type Log} from '../log.js';
import {createCoverage, createMerge, type ServiceLevelInterval} from './interval.js';
import {
	hourMs, type Level, levels, mergedObjectName, root, slotMs, spanStartOfName, spanPrefix,
} from './object-names.js';
import {readInterval} from './reader.js';

export type ServiceLevelMergerOptions = {
	objects: ObjectClient;
	/**
	 * Whether this daemon merges the span that starts at `start`, for example by
	 * rendezvous hashing over live daemons. Several owners only duplicate work.
	 */
	isMine?: (level: Level, start: number) => boolean;
	/** Milliseconds from the end of a span until it is merged; 120,000 by default. */
	graceMs?: number;
	/** Milliseconds that objects are kept, from the start of their span; four days by default. */
	retentionMs?: number;
	/** Milliseconds between two calls to the store; 10 by default, which is at most 100 calls per second. */
	paceMs?: number;
	log?: Log;
};

export type ServiceLevelMerger = {
	/** Merges due spans and removes expired objects. Throws `PlatformUnavailableError`; can be called again later. */
	run: () => Promise<{merged: number; removed: number}>;
};

const defaults = {graceMs: 120_000, retentionMs: 4 * 24 * hourMs, paceMs: 10};

/** Creates the merger of one daemon. */
export function createServiceLevelMerger(options: ServiceLevelMergerOptions): ServiceLevelMerger {
	const {objects, isMine = () => true, log = createSilentLog()} = options;
	const {graceMs, retentionMs, paceMs} = {...defaults, ...options};
	const waitBetweenCalls = async (): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, paceMs);
	});

	const read = async (name: string): Promise<ServiceLevelInterval | undefined> => {
		await waitBetweenCalls();
		return readInterval(objects, name, log);
	};

	const remove = async (names: readonly string[]): Promise<number> => {
		for (const name of names) {
			await waitBetweenCalls();
			await objects.remove(name);
		}

		return names.length;
	};

	const listSpans = async (level: Level): Promise<Map<number, string[]>> => {
		const spans = new Map<number, string[]>();
		for (const name of await objects.list(`${root}/${level}/`)) {
			const start = spanStartOfName(name);
			if (start !== undefined) {
				spans.set(start, [...spans.get(start) ?? [], name]);
			}
		}

		return spans;
	};

	/** Merges the parts of one span. Parts are removed only after the merge was written. */
	const mergeSpan = async (to: Level, start: number, parts: readonly string[]): Promise<{merged: number; removed: number}> => {
		const coverage = createCoverage();
		const existing = await objects.list(spanPrefix(to, start));
		// A part may exist again after it was merged, if its removal failed or its write was repeated late.
		const hourMerges = to === 'slot' ? await objects.list(spanPrefix('hour', start)) : [];
		for (const name of [...existing, ...hourMerges]) {
			const merged = await read(name);
			coverage.add(merged?.sources ?? []);
		}

		const merge = createMerge();
		const mergedNames: string[] = [];
		for (const name of parts) {
			const part = await read(name);
			if (part === undefined) {
				continue;
			}

			const overlap = coverage.overlap(part.sources);
			if (overlap === 'all' || (overlap === 'none' && merge.add(part))) {
				mergedNames.push(name);
			}
		}

		const merged = merge.finish();
		if (merged !== undefined) {
			const content = new TextEncoder().encode(JSON.stringify(merged));
			const isWritten = await objects.put(mergedObjectName(to, start, existing.length + 1), content, {ifAbsent: true});
			if (!isWritten) {
				return {merged: 0, removed: 0};
			}
		}

		return {merged: merged === undefined ? 0 : 1, removed: await remove(mergedNames)};
	};

	const mergeLevel = async (from: Level, to: Level): Promise<{merged: number; removed: number}> => {
		const total = {merged: 0, removed: 0};
		const due = new Map<number, string[]>();
		for (const [start, names] of await listSpans(from)) {
			const targetStart = Math.floor(start / levels[to].spanMs) * levels[to].spanMs;
			if (targetStart + levels[to].spanMs + graceMs <= Date.now() && isMine(to, targetStart)) {
				due.set(targetStart, [...due.get(targetStart) ?? [], ...names]);
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
				if (start + retentionMs < Date.now() && isMine(level, start)) {
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

/** Milliseconds between two runs of the merger: twice per span, to keep up. */
export const mergeEveryMs = slotMs / 2;
