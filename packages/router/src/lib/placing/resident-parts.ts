/**
 * Shared prompt parts in engines' memory. Models each engine's LRU cache from the prompts
 * that this daemon and its peers sent there.
 */
import {LRUCache} from 'lru-cache';
import {maxReportedPlacements} from '../peers/peer-report.js';
import {
	leadingTokens, partKey, partKeys, type PromptNeed, type PromptPartTokens, scopeOf, sharedPartsOf,
} from './choice-request.js';

/** A prompt sent to an engine, as reports carry it; `ownTokens` are not shared with other prompts. */
export type Placement = [engine: string, scope: string, ownTokens: number, parts: PromptPartTokens[]];

/** An engine and the weights version that it would use. */
export type EngineWeights = {id: string; weights: number | undefined};

/** The record. */
export type ResidentParts = {
	/** Tokens of the prompt's leading shared parts in the engine's memory. */
	tokens: (engine: EngineWeights, prompt: PromptNeed) => number;
	/** Engines that hold the prompt's deepest shared part under these weights. */
	holders: (weights: number | undefined, prompt: PromptNeed) => Iterable<string>;
	/** A prompt was sent to the engine. */
	sent: (engine: EngineWeights, prompt: PromptNeed) => void;
	/** Peers sent prompts. */
	heard: (placements: readonly Placement[]) => void;
	/** Returns and clears the latest placements since the last call; peers learn of older ones by the next use. */
	takeNews: () => Placement[];
	/** The endpoint is gone, or was restarted. */
	forget: (id: string) => void;
};

/** Options of {@link createResidentParts}. */
export type ResidentPartsOptions = {
	/** Tokens that an engine's memory holds; `undefined` if unknown. */
	memoryTokens: (id: string) => number | undefined;
};

/** Fraction of memory available to cached parts; running requests use the rest. */
const cacheRatio = 0.75;

type Memory = LRUCache<string, number>;

/** Creates an empty record. */
export function createResidentParts({memoryTokens}: ResidentPartsOptions): ResidentParts {
	const memories = new Map<string, Memory>();
	/** Engines that hold a part, by cache key. */
	const holdersByKey = new Map<string, Set<string>>();
	let news: Placement[] = [];
	let prompts = 0;

	const evicted = (id: string, key: string): void => {
		const holders = holdersByKey.get(key);
		holders?.delete(id);
		if (holders?.size === 0) {
			holdersByKey.delete(key);
		}
	};

	const memoryOf = (id: string): Memory | undefined => {
		const known = memories.get(id);
		const maxSize = Math.floor((memoryTokens(id) ?? 0) * cacheRatio);
		if (known !== undefined || maxSize === 0) {
			return known;
		}

		const memory: Memory = new LRUCache({
			maxSize,
			sizeCalculation: tokens => tokens,
			dispose(_tokens, key, reason) {
				if (reason !== 'set') {
					evicted(id, key);
				}
			},
		});
		memories.set(id, memory);
		return memory;
	};

	const note = ([id, scope, ownTokens, parts]: Placement): void => {
		const memory = memoryOf(id);
		if (memory === undefined) {
			return;
		}

		for (const [part, tokens] of parts) {
			const key = partKey(scope, part);
			memory.set(key, Math.max(1, tokens));
			if (memory.has(key)) {
				holdersByKey.set(key, (holdersByKey.get(key) ?? new Set()).add(id));
			}
		}

		// The unshared part is never reused, but occupies memory.
		prompts++;
		memory.set(`own ${prompts}`, Math.max(1, ownTokens));
	};

	return {
		tokens({id, weights}, prompt) {
			const memory = memories.get(id);
			const keys = partKeys(prompt, weights);
			return memory === undefined ? 0 : leadingTokens(prompt, index => memory.has(keys[index]));
		},
		holders(weights, prompt) {
			const deepest = partKeys(prompt, weights).at(-1);
			return deepest === undefined ? [] : holdersByKey.get(deepest) ?? [];
		},
		sent({id, weights}, prompt) {
			const shared = sharedPartsOf(prompt);
			const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
			const placement: Placement = [
				id, scopeOf(prompt, weights), prompt.promptTokens - sharedTokens + prompt.outputTokens, shared.map(part => [part.id, part.tokens]),
			];
			note(placement);
			news = [...news, placement].slice(-maxReportedPlacements);
		},
		heard(placements) {
			for (const placement of placements) {
				note(placement);
			}
		},
		takeNews() {
			const taken = news;
			news = [];
			return taken;
		},
		forget(id) {
			memories.get(id)?.clear();
			memories.delete(id);
		},
	};
}
