/** A single global token bucket, with which a fleet's limits are compared. Times are in milliseconds. */
import {type WorkspaceLimit} from 'hickorywalk/limits.js';

type Waiting = {tokens: number; grant: () => void};

/** A token bucket that sees every request of the fleet without delay. */
export type GlobalBucket = {
	/** Calls `grant` now or within `longestWaitMs`; returns false when the request is refused, which is decided at once. */
	reserve: (tokens: number, longestWaitMs: number, grant: () => void) => boolean;
	giveBack: (tokens: number) => void;
	/** Grants the queued reservations that the level now covers. */
	serve: () => void;
};

const msPerSecond = 1000;

/** Creates a full bucket that takes the time from `performance.now()`. */
export function createGlobalBucket(limit: WorkspaceLimit): GlobalBucket {
	let level = limit.burstTokens;
	let at = performance.now();
	let queue: Waiting[] = [];

	function refill(): void {
		const now = performance.now();
		level = Math.min(limit.burstTokens, level + (limit.tokensPerSecond * (now - at) / msPerSecond));
		at = now;
	}

	function serve(): void {
		refill();
		while (queue.length > 0 && level >= queue[0].tokens) {
			level -= queue[0].tokens;
			queue[0].grant();
			queue = queue.slice(1);
		}
	}

	return {
		serve,
		reserve(tokens, longestWaitMs, grant) {
			serve();
			let needed = tokens;
			for (const waiting of queue) {
				needed += waiting.tokens;
			}

			const waitMs = (needed - level) / limit.tokensPerSecond * msPerSecond;
			if (tokens > limit.burstTokens || waitMs > longestWaitMs) {
				return false;
			}

			queue.push({tokens, grant});
			serve();
			return true;
		},
		giveBack(tokens) {
			refill();
			level = Math.min(limit.burstTokens, level + tokens);
		},
	};
}

/** Tracks charges and gives the most tokens by which any window of length t exceeded burst + rate x t. */
export function createExcessMeter(limit: WorkspaceLimit): {charge: (tokens: number) => void; excess: () => number} {
	let level = limit.burstTokens;
	let at = performance.now();
	let excess = 0;
	return {
		charge(tokens) {
			const now = performance.now();
			level = Math.min(limit.burstTokens, level + (limit.tokensPerSecond * (now - at) / msPerSecond));
			at = now;
			level = Math.min(limit.burstTokens, level - tokens);
			excess = Math.max(excess, -level);
		},
		excess: () => excess,
	};
}
