/**
 * Which shared prompt parts lie in the cache store, as far as this daemon and
 * its peers have had them saved. An engine that is told to save sends all that
 * it has read of a prompt, the request's own part included, and all engines
 * share the store's link: telling it with each prompt filled that link to three
 * quarters on a calm day, so that fetching took longer than reading.
 *
 * The same record tells what must be computed: parts that nobody has had saved
 * under these weights are cached nowhere.
 */

/** Parts that were saved lately, each by a key of all that makes its saved copy distinct. */
export type KeptParts = {
	/** Whether an engine has read the part lately, so that it need not be read again. */
	isKnown: (key: string) => boolean;
	/** A request that has these parts saved was sent. */
	saved: (keys: readonly string[]) => void;
	/** A peer had them saved. */
	heard: (keys: readonly string[]) => void;
	/** Keys that this daemon had saved since the last report, for its peers. */
	takeNews: () => string[];
};

/**
 * Time after which shared parts are saved once more, in milliseconds. The store
 * drops what is used least and comes back empty after a crash, and no answer
 * says so; a subject that is asked for all the time costs one saved prompt in
 * this time.
 */
const keptMs = 20_000;

/** Keys remembered at most; at the target size a daemon meets some ten new ones a second. */
const mostKept = 4096;

/** Keys in one report at most, so that it stays one datagram; others are saved twice. */
const mostNews = 24;

/** Opens the record; nothing is known to be kept. */
export function createKeptParts(): KeptParts {
	const savedAt = new Map<string, number>();
	let news: string[] = [];

	const note = (key: string): void => {
		savedAt.delete(key);
		savedAt.set(key, performance.now());
		if (savedAt.size > mostKept) {
			const [oldest] = savedAt.keys();
			savedAt.delete(oldest);
		}
	};

	const isKnown = (key: string): boolean =>
		performance.now() - (savedAt.get(key) ?? Number.NEGATIVE_INFINITY) < keptMs;

	return {
		isKnown,
		saved(keys) {
			for (const key of keys) {
				if (!isKnown(key) && news.length < mostNews) {
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
