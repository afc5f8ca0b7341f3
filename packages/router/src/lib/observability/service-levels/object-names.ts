/**
 * Names of service-level objects: `service-levels/LEVEL/START/...`, where START
 * is the beginning in UTC of the span that an interval ends in. Raw objects, one a daemon and interval,
 * are merged by ten minutes, and those by hours.
 */

export const slotMs = 600_000;
export const hourMs = 3_600_000;

/** Levels from fine to coarse; each is made of the one before. */
export const levels = {
	raw: {spanMs: slotMs},
	slot: {spanMs: slotMs},
	hour: {spanMs: hourMs},
} as const;

export type Level = keyof typeof levels;

export const root = 'service-levels';

/** Beginning of the span of `level` that `time` is in, in milliseconds. */
export function startOfSpan(level: Level, time: number): number {
	const {spanMs} = levels[level];
	return Math.floor(time / spanMs) * spanMs;
}

/** Directory of one span; ends with a slash. */
export function spanPrefix(level: Level, time: number): string {
	return `${root}/${level}/${new Date(startOfSpan(level, time)).toISOString()}/`;
}

/**
 * The name follows from the content alone, so that a repeated write replaces
 * itself. It goes by the interval's end, which an outage may put hours after
 * its beginning.
 */
export function rawObjectName(to: number, daemon: string, incarnation: string, sequence: number): string {
	return `${spanPrefix('raw', to)}${daemon}-${incarnation}-${sequence}`;
}

export function mergedObjectName(level: Level, time: number, generation: number): string {
	return `${spanPrefix(level, time)}${generation}`;
}

/** Start of the span that an object's name tells; `undefined` for a foreign name. */
export function spanOfName(name: string): number | undefined {
	const start = Date.parse(name.split('/')[2] ?? '');
	return Number.isNaN(start) ? undefined : start;
}
