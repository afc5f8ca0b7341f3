/**
 * Tracks the shared prompt parts in engines' memory. Models each engine's LRU cache from the
 * prompts that this daemon and its peers sent to it.
 */
import {LRUCache} from 'lru-cache';
import {copyOfText} from '../buffers/copied-text.js';
import {maxReportedPlacements} from '../peers/peer-report.js';
import {
	isPartKeyTooLong, leadingTokens, partKey, partKeys, type PromptNeed, type PromptPartTokens, scopeOf, sharedPartsOf,
} from './choice-request.js';

/** A prompt sent to an engine, as encoded in peer reports. `ownTokens` are prompt and output tokens that no other prompt shares. */
export type Placement = [engine: string, scope: string, ownTokens: number, parts: PromptPartTokens[]];

/** An engine and the weights version that it would run the prompt on. */
export type EngineWeights = {id: string; weights: number | undefined};

/** Model of the engines' caches. */
export type ResidentParts = {
	/** Tokens of the prompt's leading shared parts in the engine's memory. */
	tokens: (engine: EngineWeights, prompt: PromptNeed) => number;
	/** Engines that hold the prompt's deepest shared part under these weights. */
	holders: (weights: number | undefined, prompt: PromptNeed) => Iterable<string>;
	/** Records that a prompt was sent to the engine. */
	sent: (engine: EngineWeights, prompt: PromptNeed) => void;
	/** Adds prompts that peers report as sent. */
	applyPeerReport: (placements: readonly Placement[]) => void;
	/** Returns and clears the latest `maxReportedPlacements` placements since the last call. Older ones reach peers when the engine is used again. */
	takeUnreported: () => Placement[];
	/** Removes an endpoint that is gone or was restarted. */
	forget: (id: string) => void;
};

/** Options of {@link createResidentParts}. */
export type ResidentPartsOptions = {
	/** Capacity of an engine's memory in tokens; `undefined` if unknown. */
	memoryTokens: (id: string) => number | undefined;
};

/** Fraction of memory available to cached parts; running requests use the rest. */
const cacheRatio = 0.75;

/** Upper bound on the entries of all engines together. Beyond it, none keeps more than an equal share of a fraction of them. */
const maxEntries = 32_768;
const keptRatio = 0.9;

/** Upper bound on the parts of all placements in one report, which keeps it within one datagram. */
const maxReportedPlacementParts = 256;

type Memory = LRUCache<string, number>;

/** Size of an entry, which the cache takes only as a positive whole number. */
const sizeOf = (tokens: number): number => Math.max(1, Math.ceil(Math.min(tokens, Number.MAX_SAFE_INTEGER)));

/** Creates an empty record. */
export function createResidentParts({memoryTokens}: ResidentPartsOptions): ResidentParts {
	const memories = new Map<string, Memory>();
	/** Engines that hold a part, by cache key. */
	const holdersByKey = new Map<string, Set<string>>();
	let unreported: Placement[] = [];
	let promptCount = 0;
	let entryCount = 0;

	const removeHolder = (id: string, key: string): void => {
		const holders = holdersByKey.get(key);
		holders?.delete(id);
		if (holders?.size === 0) {
			holdersByKey.delete(key);
		}
	};

	/** Evicts the parts used longest ago of the engines that have most. */
	const makeRoom = (): void => {
		const share = Math.max(1, Math.floor(maxEntries * keptRatio / memories.size));
		entryCount = 0;
		for (const memory of memories.values()) {
			while (memory.size > share) {
				memory.pop();
			}

			entryCount += memory.size;
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
					removeHolder(id, key);
				}
			},
		});
		memories.set(id, memory);
		return memory;
	};

	const record = ([id, scope, ownTokens, parts]: Placement): void => {
		const memory = memoryOf(id);
		if (memory === undefined) {
			return;
		}

		const sizeBefore = memory.size;
		for (const [part, tokens] of parts) {
			const key = partKey(scope, part);
			if (isPartKeyTooLong(key)) {
				continue;
			}

			const heldKey = memory.has(key) ? key : copyOfText(key);
			memory.set(heldKey, sizeOf(tokens));
			if (memory.has(heldKey)) {
				holdersByKey.set(heldKey, (holdersByKey.get(heldKey) ?? new Set()).add(id));
			}
		}

		// The unshared part is never reused, but it occupies memory.
		promptCount++;
		memory.set(`own ${promptCount}`, sizeOf(ownTokens));
		entryCount += memory.size - sizeBefore;
		if (entryCount > maxEntries) {
			makeRoom();
		}
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
			record(placement);
			unreported = [...unreported, placement].slice(-maxReportedPlacements);
		},
		applyPeerReport(placements) {
			for (const placement of placements) {
				record(placement);
			}
		},
		takeUnreported() {
			let partCount = 0;
			const firstTaken = unreported.findLastIndex(placement => {
				partCount += placement[3].length;
				return partCount > maxReportedPlacementParts;
			}) + 1;
			const taken = unreported.slice(firstTaken);
			unreported = [];
			return taken;
		},
		forget(id) {
			const memory = memories.get(id);
			if (memory !== undefined) {
				entryCount -= memory.size;
				memory.clear();
				memories.delete(id);
			}
		},
	};
}
