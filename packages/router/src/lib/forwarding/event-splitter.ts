/**
 * Splits a stream into complete events without changing a byte. An endpoint may fail in the
 * middle of an event; the caller then has only complete ones, so that another endpoint can
 * resume after the last of them.
 */
import {Buffer} from 'node:buffer';
import {type ByteCollector, createByteCollector} from '../buffers/byte-collector.js';

/** One or more complete events that arrived together. */
export type CompleteEvents = {
	/** Includes the terminating blank lines. */
	bytes: Buffer;
	/** Id of the last of these events that has one. */
	lastId: string | undefined;
};

/** Splits one stream. */
export type EventSplitter = {
	/** Adds bytes; returns the events that they complete, if any. */
	push: (chunk: Uint8Array) => CompleteEvents | undefined;
	/** Bytes after the last complete event. */
	remainder: () => Buffer;
	/** Number of these bytes. */
	remainderLength: () => number;
	/** Bytes of memory that they take. */
	memoryBytes: () => number;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const idField = 'id:';

/**
 * Value of the last id field of complete events; a line at a time is searched from the end, since a read may bring many events.
 * Only the value becomes text: a slice of all events would keep them in memory while the stream lasts.
 */
function lastIdOf(bytes: Buffer): string | undefined {
	const lineBreak = bytes.lastIndexOf(`\n${idField}`, undefined, 'latin1');
	if (lineBreak === -1 && bytes.toString('latin1', 0, idField.length) !== idField) {
		return undefined;
	}

	const valueStart = lineBreak + 1 + idField.length;
	const line = bytes.toString('latin1', valueStart, bytes.indexOf(lineFeed, valueStart));
	const end = line.indexOf('\r');
	const value = end === -1 ? line : line.slice(0, end);
	return value.startsWith(' ') ? value.slice(1) : value;
}

/** Bytes before a line feed that show whether it ends a blank line. */
const contextBytes = 2;

const noBytes = Buffer.alloc(0);

/** Offset after the last blank line of a chunk, or -1; `before` are the bytes before the chunk. */
function endOfLastEvent(chunk: Buffer, before: Buffer): number {
	const byteAt = (index: number): number | undefined => index < 0 ? before[before.length + index] : chunk[index];
	for (let index = chunk.lastIndexOf(lineFeed); index !== -1; index = index === 0 ? -1 : chunk.lastIndexOf(lineFeed, index - 1)) {
		const previous = byteAt(index - 1);
		if (previous === lineFeed || (previous === carriageReturn && byteAt(index - 2) === lineFeed)) {
			return index + 1;
		}
	}

	return -1;
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
	let pending: ByteCollector | undefined;
	/** The last of the pending bytes. */
	let context: Buffer = noBytes;

	const clear = (): void => {
		pending = undefined;
		context = noBytes;
	};

	const hold = (bytes: Uint8Array): void => {
		if (bytes.length > 0) {
			pending ??= createByteCollector();
			pending.add(bytes);
			context = Buffer.concat([context, bytes.subarray(-contextBytes)]).subarray(-contextBytes);
		}
	};

	const complete = (bytes: Buffer): Buffer => {
		if (pending === undefined) {
			return bytes;
		}

		pending.add(bytes);
		return pending.whole();
	};

	return {
		push(chunk) {
			const added = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
			const end = endOfLastEvent(added, context);
			if (end === -1) {
				hold(added);
				return undefined;
			}

			const bytes = complete(added.subarray(0, end));
			clear();
			// A view would keep the memory of the complete events.
			hold(new Uint8Array(added.subarray(end)));
			return {bytes, lastId: lastIdOf(bytes)};
		},
		remainder: () => pending?.whole() ?? noBytes,
		remainderLength: () => pending?.length() ?? 0,
		memoryBytes: () => pending?.memoryBytes() ?? 0,
	};
}
