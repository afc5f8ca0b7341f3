/**
 * Shared prompt parts in the cache store, as saved on behalf of this daemon and its peers.
 * All engines share the store's link, so parts that are known are not saved again.
 */

/** Recently saved parts, by cache key. */
export type KeptParts = {
	/** Whether the part was saved recently. */
	isKnown: (key: string) => boolean;
	/** A request that saves these parts was sent. */
	saved: (keys: readonly string[]) => void;
	/** A peer had these parts saved. */
	heard: (keys: readonly string[]) => void;
	/** Returns and clears the keys saved since the last report. */
	takeNews: () => string[];
};

/** Parts are saved again after this time, since the store evicts without notice. */
const savedTtlMs = 20_000;

const maxKeys = 4096;

/** Keeps a report within one datagram; further keys may be saved twice. */
const maxNews = 24;

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
				if (!isKnown(key) && news.length < maxNews) {
					news.push(key);
				}

				note(key);
			}
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
