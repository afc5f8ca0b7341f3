/**
 * Collects bytes that somebody else has cut into chunks, in few buffers, however small the chunks are.
 *
 * Each chunk is an object of some hundred bytes on the heap, and may be a view that keeps the far larger buffer of the
 * read that brought it. An account that counts the bytes of chunks knows of neither.
 */
import {Buffer} from 'node:buffer';

/** Bytes that arrive in chunks. */
export type ByteCollector = {
	/** Adds a chunk; returns the bytes of memory that are taken in addition, which are negative if a copy takes less. */
	add: (chunk: Uint8Array) => number;
	/** Bytes so far. */
	length: () => number;
	/** Bytes of memory that are taken. */
	memoryBytes: () => number;
	/** All bytes so far, in few parts. */
	parts: () => readonly Uint8Array[];
	/** All bytes so far in one buffer, a copy unless they came in one chunk. */
	whole: () => Buffer;
};

/** Smaller chunks are copied into blocks. */
const minHeldBytes = 4096;

/** Fraction of the memory that a chunk keeps from which it is held as it is. */
const minHeldRatio = 0.5;

const minBlockBytes = 512;
const maxBlockBytes = 64 * 1024;

const memoryOf = (chunk: Uint8Array): number => chunk.buffer.byteLength;

const isWorthHolding = (chunk: Uint8Array): boolean => chunk.length >= minHeldBytes && chunk.length >= memoryOf(chunk) * minHeldRatio;

/** Creates a collector without any chunk; `onPart` is called with each part in order, the last one by `parts` or `whole`. */
export function createByteCollector(onPart: (part: Uint8Array) => void = () => undefined): ByteCollector {
	const parts: Uint8Array[] = [];
	let length = 0;
	let memoryBytes = 0;
	/** The only chunk so far, which is handed on as it is if no other follows. */
	let first: Uint8Array | undefined;
	/** The latest part is a block with this many bytes used. */
	let block: {bytes: Uint8Array; used: number} | undefined;

	const addPart = (part: Uint8Array): void => {
		parts.push(part);
		onPart(part);
	};

	const closeBlock = (): void => {
		if (block !== undefined) {
			addPart(block.bytes.subarray(0, block.used));
			block = undefined;
		}
	};

	/** Blocks grow with the content, so that a small one takes little. */
	const openBlock = (chunkBytes: number): {bytes: Uint8Array; used: number} => {
		const size = Math.max(chunkBytes, Math.min(maxBlockBytes, Math.max(minBlockBytes, length)));
		memoryBytes += size;
		return {bytes: Buffer.allocUnsafeSlow(size), used: 0};
	};

	const copyToBlock = (chunk: Uint8Array): void => {
		if (block === undefined || block.used + chunk.length > block.bytes.length) {
			closeBlock();
			block = openBlock(chunk.length);
		}

		block.bytes.set(chunk, block.used);
		block.used += chunk.length;
	};

	const place = (chunk: Uint8Array): void => {
		if (isWorthHolding(chunk)) {
			closeBlock();
			addPart(chunk);
			memoryBytes += memoryOf(chunk);
		} else {
			copyToBlock(chunk);
		}
	};

	const placeFirst = (): void => {
		if (first !== undefined) {
			const chunk = first;
			first = undefined;
			memoryBytes -= memoryOf(chunk);
			place(chunk);
		}
	};

	const allParts = (): readonly Uint8Array[] => {
		if (first !== undefined) {
			addPart(first);
			first = undefined;
		}

		closeBlock();
		return parts;
	};

	return {
		add(chunk) {
			const before = memoryBytes;
			if (length === 0) {
				first = chunk;
				memoryBytes = memoryOf(chunk);
			} else {
				placeFirst();
				place(chunk);
			}

			length += chunk.length;
			return memoryBytes - before;
		},
		length: () => length,
		memoryBytes: () => memoryBytes,
		parts: allParts,
		whole() {
			const [only, ...others] = allParts();
			if (only === undefined || others.length > 0) {
				return Buffer.concat(parts, length);
			}

			return Buffer.isBuffer(only) ? only : Buffer.from(only.buffer, only.byteOffset, only.length);
		},
	};
}
