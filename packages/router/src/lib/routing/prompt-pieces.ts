/**
 * Splits prompts into pieces, the units in which engines cache them, and
 * identifies each piece by a hash of the whole prefix that ends with it.
 */
import xxhash from 'xxhash-wasm';
import {cacheIdentityText, type CacheIdentity} from './cache-identity.js';

/** Size of the pieces of a service's engines, from the configuration document. */
export type PieceSize = {
	/** Tokens in one piece. */
	pieceTokens: number;
	/** Bytes of UTF-8 in one token. */
	bytesPerToken: number;
};

/** Hashes the pieces of prompts. */
export type PromptHasher = {
	/**
	 * Returns one hash for each whole piece, from shallow to deep. Each hash is
	 * chained to the previous one, the first to the identity: equal hashes mean
	 * equal prefixes of the same identity. A remainder shorter than a piece is
	 * left out, since engines cache whole pieces only.
	 */
	hash: (identity: CacheIdentity, prompt: string | Uint8Array, pieceBytes: number) => bigint[];
};

/** Bytes of UTF-8 in one piece, at least 1. */
export const pieceBytesOf = (size: PieceSize): number =>
	Math.max(1, Math.floor(size.pieceTokens * size.bytesPerToken));

/** Estimates the number of tokens of a prompt before an engine has counted them. */
export const estimatePromptTokens = (promptBytes: number, bytesPerToken: number): number =>
	Math.ceil(promptBytes / bytesPerToken);

/**
 * Loads the hash function (XXH64) and returns a hasher, which is then
 * synchronous.
 *
 * XXH64 is fast but not collision-resistant against an attacker. That is
 * sufficient here: a workspace can forge collisions with its own prompts only,
 * and a collision only skews an estimate. The engine compares tokens before it
 * reuses cache.
 *
 * @example
 * const hasher = await createPromptHasher();
 * const pieces = hasher.hash({workspace: 'school-1', model: 'wordsmith', version: 'w1', adapter: ''}, prompt, 4096);
 */
export const createPromptHasher = async (): Promise<PromptHasher> => {
	const {h64, h64Raw} = await xxhash();
	const encoder = new TextEncoder();
	return {
		hash(identity, prompt, pieceBytes) {
			const bytes = typeof prompt === 'string' ? encoder.encode(prompt) : prompt;
			const hashes: bigint[] = [];
			let previous = h64(cacheIdentityText(identity));
			for (let end = pieceBytes; end <= bytes.length; end += pieceBytes) {
				previous = h64Raw(bytes.subarray(end - pieceBytes, end), previous);
				hashes.push(previous);
			}

			return hashes;
		},
	};
};
