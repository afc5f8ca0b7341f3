/** Arithmetic of a token bucket: a level that grows at a rate up to a burst. */

/** State of a token bucket. Times are milliseconds of `performance.now()`. */
export type TokenLevel = {
	/** Tokens per second. */
	rate: number;
	/** Maximum of `tokens`. */
	burst: number;
	/** Tokens that may be spent now; negative while overuse is paid back. */
	tokens: number;
	/** Time at which `tokens` was last updated. */
	at: number;
};

const msPerSecond = 1000;

/** Creates a level without rate, burst or tokens. */
export function emptyLevel(now: number): TokenLevel {
	return {
		rate: 0, burst: 0, tokens: 0, at: now,
	};
}

/** Adds the tokens that accrued since the last call. Must be called before any field is changed. */
export function refill(level: TokenLevel, now: number): void {
	if (now > level.at) {
		level.tokens += level.rate * (now - level.at) / msPerSecond;
		level.at = now;
	}

	level.tokens = Math.min(level.burst, level.tokens);
}

/** Milliseconds until the level reaches `tokens`; infinite if it never does. */
export function msUntil(level: TokenLevel, tokens: number): number {
	if (level.tokens >= tokens) {
		return 0;
	}

	if (level.burst < tokens || level.rate <= 0) {
		return Number.POSITIVE_INFINITY;
	}

	return (tokens - level.tokens) / level.rate * msPerSecond;
}
