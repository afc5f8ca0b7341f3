/** The one global bucket that a fleet's limits are measured against. Times are in milliseconds. */
import {type WorkspaceLimit} from 'hickorywalk/limits.js';

type Waiting = {tokens: number; grant: () => void};

/** A bucket that sees every request at once. */
export type GlobalBucket = {
	/** Calls `grant` now or within `longestWaitMs`; false when it refuses at once. */
	reserve: (tokens: number, longestWaitMs: number, grant: () => void) => boolean;
	giveBack: (tokens: number) => void;
	/** Grants what has become due. */
	serve: () => void;
};

const msPerSecond = 1000;

/** Creates a full bucket on the clock of the runtime. */
export function createGlobalBucket(limit: WorkspaceLimit): GlobalBucket {
	let level = limit.burstTokens;
	let at = performance.now();
	let line: Waiting[] = [];

	function refill(): void {
		const now = performance.now();
		level = Math.min(limit.burstTokens, level + (limit.tokensPerSecond * (now - at) / msPerSecond));
		at = now;
	}

	function serve(): void {
		refill();
		while (line.length > 0 && level >= line[0].tokens) {
			level -= line[0].tokens;
			line[0].grant();
			line = line.slice(1);
		}
	}

	return {
		serve,
		reserve(tokens, longestWaitMs, grant) {
			serve();
			let needed = tokens;
			for (const waiting of line) {
				needed += waiting.tokens;
			}

			const waitMs = (needed - level) / limit.tokensPerSecond * msPerSecond;
			if (tokens > limit.burstTokens || waitMs > longestWaitMs) {
				return false;
			}

			line.push({tokens, grant});
			serve();
			return true;
		},
		giveBack(tokens) {
			refill();
			level = Math.min(limit.burstTokens, level + tokens);
		},
	};
}

/** Follows charges and tells by how much any window went beyond burst + rate x t. */
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
