/**
 * Names of service-level objects: `service-levels/LEVEL/START/...`, where START is
 * the start (UTC) of the span in which an interval ends. There is one raw object
 * per daemon and interval. Raw objects are merged into slots of ten minutes, and
 * slots into hours.
 */

export const slotMs = 600_000;
export const hourMs = 3_600_000;

/** Levels from fine to coarse; each is merged from the previous one. */
export const levels = {
	raw: {spanMs: slotMs},
	slot: {spanMs: slotMs},
	hour: {spanMs: hourMs},
} as const;

export type Level = keyof typeof levels;

export const root = 'service-levels';

/** Start of the span of `level` that contains `time`, in milliseconds. */
export function startOfSpan(level: Level, time: number): number {
	const {spanMs} = levels[level];
	return Math.floor(time / spanMs) * spanMs;
}

/** Name prefix of the objects of one span; ends with a slash. */
export function spanPrefix(level: Level, time: number): string {
	return `${root}/${level}/${new Date(startOfSpan(level, time)).toISOString()}/`;
}

/**
 * The name depends on the content alone, so that a repeated write overwrites the
 * first one. The span is that of the interval's end, which may be hours after
 * its start if the store was unavailable.
 */
export function rawObjectName(to: number, daemon: string, incarnation: string, sequence: number): string {
	return `${spanPrefix('raw', to)}${daemon}-${incarnation}-${sequence}`;
}

export function mergedObjectName(level: Level, time: number, generation: number): string {
	return `${spanPrefix(level, time)}${generation}`;
}

/** Start of the span in an object's name; `undefined` if the name has another format. */
export function spanStartOfName(name: string): number | undefined {
	const start = Date.parse(name.split('/')[2] ?? '');
	return Number.isNaN(start) ? undefined : start;
}
