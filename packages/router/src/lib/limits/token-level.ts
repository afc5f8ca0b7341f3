/** A token bucket's arithmetic: a level that grows at a rate up to a burst. */

/** Times are milliseconds of `performance.now()`. */
export type TokenLevel = {
	/** Tokens a second. */
	rate: number;
	/** Most tokens that the level may reach. */
	burst: number;
	/** Tokens that may be spent now; below zero while overuse is paid back. */
	tokens: number;
	/** When `tokens` was last worked out. */
	at: number;
};

const msPerSecond = 1000;

/** An empty level. */
export function emptyLevel(now: number): TokenLevel {
	return {
		rate: 0, burst: 0, tokens: 0, at: now,
	};
}

/** Adds what has come in since the last call. Call it before any field changes. */
export function refill(level: TokenLevel, now: number): void {
	if (now > level.at) {
		level.tokens += level.rate * (now - level.at) / msPerSecond;
		level.at = now;
	}

	level.tokens = Math.min(level.burst, level.tokens);
}

/** Milliseconds until the level reaches `tokens`; infinite when it never does. */
export function msUntil(level: TokenLevel, tokens: number): number {
	if (level.tokens >= tokens) {
		return 0;
	}

	if (level.burst < tokens || level.rate <= 0) {
		return Number.POSITIVE_INFINITY;
	}

	return (tokens - level.tokens) / level.rate * msPerSecond;
}
