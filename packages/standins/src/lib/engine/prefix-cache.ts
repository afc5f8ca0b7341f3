/** The prefix cache of an engine stand-in: whole pieces, least recently used out first. */
import {LRUCache} from 'lru-cache';
import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** What the cache tells its subscribers. */
export type CacheEvent = {
	/** Counts from 1 for each incarnation, so that a gap shows. */
	sequence: number;
	kind: 'stored' | 'evicted';
	piece: string;
};

/** Options of {@link createPrefixCache}. */
export type PrefixCacheOptions = {
	/** Pieces that fit into memory. */
	capacity: number;
	/** Bytes of prompt in one piece. */
	pieceBytes: number;
	/** Hears of every change. */
	onEvent: (event: CacheEvent) => void;
};

/** A cache of prompt pieces under a cache identity. */
export type PrefixCache = {
	/** Pieces at the start of the prompt that are cached, and how many it has. */
	lookUp: (identity: string, prompt: string) => {cached: number; total: number};
	/** Stores every whole piece of the prompt. */
	store: (identity: string, prompt: string) => void;
	clear: () => void;
	readonly size: number;
};

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
	let sequence = 0;
	const tell = (kind: CacheEvent['kind'], piece: string) => {
		sequence++;
		options.onEvent({sequence, kind, piece});
	};

	const pieces = new LRUCache<string, true>({
		max: options.capacity,
		disposeAfter(_value, piece, reason) {
			if (reason === 'evict') {
				tell('evicted', piece);
			}
		},
	});

	const piecesOf = (identity: string, prompt: string) => {
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
			const list = piecesOf(identity, prompt);
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
			for (const piece of piecesOf(identity, prompt)) {
				if (pieces.get(piece) === undefined) {
					pieces.set(piece, true);
					tell('stored', piece);
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
