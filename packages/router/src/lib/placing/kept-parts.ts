/**
 * Shared prompt parts in the cache store, as saved on behalf of this daemon and its peers.
 * All engines share the store's link, so parts that are known are not saved again.
 */
import {maxReportedParts} from '../peers/peer-report.js';

/** Recently saved parts, by cache key. */
export type KeptParts = {
	/** Whether the part was saved recently. */
	isKnown: (key: string) => boolean;
	/** A request that saves these parts was sent. */
	saved: (keys: readonly string[]) => void;
	/** A peer had these parts saved. */
	heard: (keys: readonly string[]) => void;
	/** Returns and clears the latest keys saved since the last call; older ones may be saved twice. */
	takeNews: () => string[];
};

/** Parts are saved again after this time, since the store evicts without notice. */
const savedTtlMs = 20_000;

const maxKeys = 4096;

/** Creates an empty record. */
export function createKeptParts(): KeptParts {
	const savedAt = new Map<string, number>();
	let news: string[] = [];

	const note = (key: string): void => {
		savedAt.delete(key);
		savedAt.set(key, performance.now());
		if (savedAt.size > maxKeys) {
			const [oldest] = savedAt.keys();
			savedAt.delete(oldest);
		}
	};

	const isKnown = (key: string): boolean =>
		performance.now() - (savedAt.get(key) ?? Number.NEGATIVE_INFINITY) < savedTtlMs;

	return {
		isKnown,
		saved(keys) {
			for (const key of keys) {
				if (!isKnown(key)) {
					news.push(key);
				}

				note(key);
			}

			news = news.slice(-maxReportedParts);
		},
		heard(keys) {
			for (const key of keys) {
				note(key);
			}
		},
		takeNews() {
			const taken = news;
			news = [];
			return taken;
		},
	};
}
