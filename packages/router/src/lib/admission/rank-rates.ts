/** Measures how many waiting requests of each rank this daemon sends while others of the rank wait. */

/** Rates by service and rank. */
export type RankRates = {
	/** The rank has waiting requests from now on, or none. */
	backlogged: (service: string, rank: number, hasWaiting: boolean) => void;
	sent: (service: string, rank: number) => void;
	/** Waiting requests that are sent per millisecond; `undefined` until the rank has had some for a whole window. */
	perMs: (service: string, rank: number) => number | undefined;
};

type Rate = {since: number; windowAt: number; sent: number; sentBefore: number};

/** Long enough for several requests of a rank that gets its minimum share only. */
const windowMs = 1000;

/** Creates rates without measurements. */
export function createRankRates(): RankRates {
	/** Ranks with waiting requests only, so that the number is bounded. */
	const rates = new Map<string, Rate>();
	const keyOf = (service: string, rank: number): string => `${rank} ${service}`;

	const moveOn = (rate: Rate): void => {
		const windows = Math.floor((performance.now() - rate.windowAt) / windowMs);
		if (windows > 0) {
			rate.sentBefore = windows === 1 ? rate.sent : 0;
			rate.sent = 0;
			rate.windowAt += windows * windowMs;
		}
	};

	return {
		backlogged(service, rank, hasWaiting) {
			const key = keyOf(service, rank);
			if (!hasWaiting) {
				rates.delete(key);
			} else if (!rates.has(key)) {
				const now = performance.now();
				rates.set(key, {
					since: now, windowAt: now, sent: 0, sentBefore: 0,
				});
			}
		},
		sent(service, rank) {
			const rate = rates.get(keyOf(service, rank));
			if (rate !== undefined) {
				moveOn(rate);
				rate.sent++;
			}
		},
		perMs(service, rank) {
			const rate = rates.get(keyOf(service, rank));
			if (rate === undefined || performance.now() - rate.since < windowMs) {
				return undefined;
			}

			moveOn(rate);
			const passedRatio = (performance.now() - rate.windowAt) / windowMs;
			return ((rate.sentBefore * (1 - passedRatio)) + rate.sent) / windowMs;
		},
	};
}
