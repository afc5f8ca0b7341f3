/**
 * Which shared prompt parts lie in which engine's memory, as far as this daemon
 * and its peers have sent them there.
 *
 * Engines evict what was used least lately. Each one's memory is followed part by
 * part, by the same rule, which holds for any load, memory and reading speed; a
 * time after which parts count as evicted would hold for one of them.
 */
import {LRUCache} from 'lru-cache';
import {
	leadingTokens, partKey, partKeys, type PromptNeed, type PromptPartTokens, scopeOf, sharedPartsOf,
} from './choice-request.js';

/** One prompt that was sent to an engine, as peers tell it: engine, cache scope, tokens that no other prompt shares, shared parts with their tokens. */
export type Placement = [engine: string, scope: string, ownTokens: number, parts: PromptPartTokens[]];

/** An engine and the weights with which it would run a prompt. */
export type EngineWeights = {id: string; weights: number | undefined};

/** The record. */
export type ResidentParts = {
	/** Tokens of a prompt's shared parts that the engine has in memory, from the first part on. */
	tokens: (engine: EngineWeights, prompt: PromptNeed) => number;
	/** Engines that have a prompt's deepest shared part under these weights. */
	holders: (weights: number | undefined, prompt: PromptNeed) => Iterable<string>;
	/** A prompt was sent there. */
	sent: (engine: EngineWeights, prompt: PromptNeed) => void;
	/** Peers sent prompts. */
	heard: (placements: readonly Placement[]) => void;
	/** What this daemon sent since the last report, for its peers. */
	takeNews: () => Placement[];
	/** The engine is gone, or its process is another one. */
	forget: (id: string) => void;
};

/** Options of {@link createResidentParts}. */
export type ResidentPartsOptions = {
	/** Tokens that an engine's memory holds; `undefined` for one that isn't known. */
	memoryTokens: (id: string) => number | undefined;
};

/** Part of an engine's memory that cached parts have beside the requests that run. */
const cachedShare = 0.75;

/** Placements in one report at most, so that it stays one datagram; of others peers learn by the next use. */
const mostNews = 16;

type Memory = LRUCache<string, number>;

/** Opens an empty record. */
export function createResidentParts({memoryTokens}: ResidentPartsOptions): ResidentParts {
	const memories = new Map<string, Memory>();
	/** By key of a part: the engines that have it. */
	const engines = new Map<string, Set<string>>();
	let news: Placement[] = [];
	let prompts = 0;

	const evicted = (id: string, key: string): void => {
		const holders = engines.get(key);
		holders?.delete(id);
		if (holders?.size === 0) {
			engines.delete(key);
		}
	};

	const memoryOf = (id: string): Memory | undefined => {
		const known = memories.get(id);
		const maxSize = Math.floor((memoryTokens(id) ?? 0) * cachedShare);
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
				engines.set(key, (engines.get(key) ?? new Set()).add(id));
			}
		}

		// Nobody asks for it again, but it takes memory all the same.
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
			return deepest === undefined ? [] : engines.get(deepest) ?? [];
		},
		sent({id, weights}, prompt) {
			const shared = sharedPartsOf(prompt);
			const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
			const placement: Placement = [
				id, scopeOf(prompt, weights), prompt.promptTokens - sharedTokens + prompt.outputTokens, shared.map(part => [part.id, part.tokens]),
			];
			note(placement);
			if (news.length < mostNews) {
				news.push(placement);
			}
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
