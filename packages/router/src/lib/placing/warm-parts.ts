/** Shared prompt parts that this daemon has sent to engines itself, which will have them cached. */
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {
	leadingTokens, type PromptNeed, scopeOf, sharedPartsOf,
} from './choice-request.js';

/** The record. */
export type WarmParts = {
	/** Tokens of a prompt's shared parts that the engine has with these weights, from the first part on. */
	tokens: (endpoint: LiveEndpoint, weights: number | undefined, prompt: PromptNeed) => number;
	/** A prompt was sent there. */
	sent: (endpoint: LiveEndpoint, weights: number | undefined, prompt: PromptNeed) => void;
};

/** Time for which a part that this daemon sent somewhere is thought to stay cached, in milliseconds; engines evict what is used least. */
const warmMs = 8000;

/** Opens an empty record. */
export function createWarmParts(): WarmParts {
	const usedAt = new Map<string, number>();

	const keysOf = ({id}: LiveEndpoint, weights: number | undefined, prompt: PromptNeed): string[] =>
		sharedPartsOf(prompt).map(part => `${id} ${scopeOf(prompt, weights)} ${part.id}`);

	const forgetCold = (now: number): void => {
		for (const [key, at] of usedAt) {
			if (now - at <= warmMs) {
				return;
			}

			usedAt.delete(key);
		}
	};

	return {
		tokens(endpoint, weights, prompt) {
			const now = performance.now();
			const keys = keysOf(endpoint, weights, prompt);
			return leadingTokens(prompt, index => now - (usedAt.get(keys[index]) ?? Number.NEGATIVE_INFINITY) <= warmMs);
		},
		sent(endpoint, weights, prompt) {
			const now = performance.now();
			for (const key of keysOf(endpoint, weights, prompt)) {
				usedAt.delete(key);
				usedAt.set(key, now);
			}

			forgetCold(now);
		},
	};
}
