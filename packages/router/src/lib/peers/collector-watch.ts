/**
 * Follows the collector of one daemon. A collector whose bundles stop is not chosen for a while:
 * it may be gone, suspended or cut off, and its silence as a peer is noticed later.
 */
import {type Log} from '../observability/log.js';

/** Options of {@link createCollectorWatch}. */
export type CollectorWatchOptions = {
	/** Name of this daemon. */
	name: string;
	log: Log;
};

/** The watch. */
export type CollectorWatch = {
	/** Returns the collector of the next interval; `select` chooses it among the daemons that aren't suspected. */
	next: (select: (isSuspected: (daemon: string) => boolean) => string, intervalMs: number) => string;
	/** A bundle of this daemon arrived. */
	heard: (daemon: string) => void;
};

type Suspicion = {until: number; failures: number};

/**
 * Intervals without a bundle after which another collector is chosen. The check is made at the
 * begin of an interval, before its own bundle, so that this is after three missing bundles.
 */
const maxMissingIntervals = 2.75;

/** Time for which a collector isn't chosen after its bundles stopped, in milliseconds; doubles with each failure. */
const firstSuspicionMs = 10_000;
const maxSuspicionMs = 320_000;

/** Creates a watch; at first the daemon collects for itself. */
export function createCollectorWatch({name, log}: CollectorWatchOptions): CollectorWatch {
	const suspicions = new Map<string, Suspicion>();
	let current = name;
	let chosenAt = performance.now();
	let heardAt = Number.NEGATIVE_INFINITY;

	const isSuspected = (daemon: string): boolean => (suspicions.get(daemon)?.until ?? 0) > performance.now();

	const suspect = (daemon: string, silentMs: number): void => {
		const failures = (suspicions.get(daemon)?.failures ?? 0) + 1;
		suspicions.set(daemon, {until: performance.now() + Math.min(maxSuspicionMs, firstSuspicionMs * (2 ** (failures - 1))), failures});
		log.info('Collector sends no bundles.', {peer: daemon, ms: Math.round(silentMs)});
	};

	return {
		next(select, intervalMs) {
			const now = performance.now();
			const silentMs = now - Math.max(chosenAt, heardAt);
			if (current !== name && silentMs > intervalMs * maxMissingIntervals) {
				suspect(current, silentMs);
			}

			const chosen = select(isSuspected);
			if (chosen !== current) {
				current = chosen;
				chosenAt = now;
				log.info('Collector of this daemon changed.', {peer: chosen});
			}

			return current;
		},
		heard(daemon) {
			if (daemon === current) {
				heardAt = performance.now();
				suspicions.delete(daemon);
			}
		},
	};
}
