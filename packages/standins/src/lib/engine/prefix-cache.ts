/** The prefix cache of an engine stand-in: complete pieces with LRU eviction. */
import {LRUCache} from 'lru-cache';
import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** A change of the cache, as published to subscribers. */
export type CacheEvent = {
	/** Sequence number from 1 in each incarnation, so that subscribers detect lost events. */
	sequence: number;
	kind: 'stored' | 'evicted';
	piece: string;
};

/** Options of {@link createPrefixCache}. */
export type PrefixCacheOptions = {
	/** Maximum number of cached pieces. */
	capacity: number;
	/** Prompt bytes per piece. */
	pieceBytes: number;
	/** Called for every change. */
	onEvent: (event: CacheEvent) => void;
};

/** A cache of prompt pieces under a cache identity. */
export type PrefixCache = {
	/** Returns the number of cached pieces at the start of the prompt, and its total number of pieces. */
	lookUp: (identity: string, prompt: string) => {cached: number; total: number};
	/** Stores every complete piece of the prompt. */
	store: (identity: string, prompt: string) => void;
	clear: () => void;
	readonly size: number;
};

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
	let sequence = 0;
	const emit = (kind: CacheEvent['kind'], piece: string) => {
		sequence++;
		options.onEvent({sequence, kind, piece});
	};

	const pieces = new LRUCache<string, true>({
		max: options.capacity,
		disposeAfter(_value, piece, reason) {
			if (reason === 'evict') {
				emit('evicted', piece);
			}
		},
	});

	const hashPieces = (identity: string, prompt: string) => {
		const list: string[] = [];
		let chain = identity;
		for (let start = 0; start + options.pieceBytes <= prompt.length; start += options.pieceBytes) {
			chain = h64(chain + prompt.slice(start, start + options.pieceBytes)).toString(16);
			list.push(chain);
		}

		return list;
	};

	return {
		lookUp(identity, prompt) {
			const list = hashPieces(identity, prompt);
			let cached = 0;
			for (const piece of list) {
				if (pieces.get(piece) === undefined) {
					break;
				}

				cached++;
			}

			return {cached, total: list.length};
		},
		store(identity, prompt) {
			for (const piece of hashPieces(identity, prompt)) {
				if (pieces.get(piece) === undefined) {
					pieces.set(piece, true);
					emit('stored', piece);
				}
			}
		},
		clear() {
			pieces.clear();
		},
		get size() {
			return pieces.size;
		},
	};
}
