/**
 * What a daemon knows of the newest version: the highest version it has heard
 * of, and until when it is sure that its own is that version. Times are of the
 * monotonic clock, so that a step of the wall clock proves nothing.
 */

/** A version together with how old the knowledge is that it was the newest. */
export type HeadNews = {
	version: number;
	/** Milliseconds; `Infinity` when it was never known. */
	ageMs: number;
};

/** Keeps what is known of the newest version. */
export type HeadKnowledge = {
	/**
	 * Takes in news. News of a lower version is dropped, however fresh it
	 * claims to be: it comes from a stale peer or was delayed on its way.
	 */
	learn: (news: HeadNews) => void;
	/** The highest version heard of, and how old that news is. */
	newest: () => HeadNews;
};

/** Creates the knowledge of a daemon that has just started: none. */
export function createHeadKnowledge(): HeadKnowledge {
	let version = 0;
	let knownAt = -Infinity;
	return {
		learn(news) {
			const newsKnownAt = performance.now() - news.ageMs;
			if (news.version < version) {
				return;
			}

			knownAt = news.version > version ? newsKnownAt : Math.max(knownAt, newsKnownAt);
			version = news.version;
		},
		newest() {
			return {version, ageMs: performance.now() - knownAt};
		},
	};
}
