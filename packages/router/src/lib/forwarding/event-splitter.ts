/**
 * Splits a stream into complete events without changing a byte. An endpoint may fail in the
 * middle of an event; the caller then has only complete ones, so that another endpoint can
 * resume after the last of them.
 */
import {Buffer} from 'node:buffer';

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
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const lineEnd = /[\r\n]/v;
const idField = 'id:';

/** Value of the last id field; a line at a time is searched from the end, since a read may bring many events. */
function lastIdOf(text: string): string | undefined {
	const lineStart = text.lastIndexOf(`\n${idField}`) + 1;
	if (!text.startsWith(idField, lineStart)) {
		return undefined;
	}

	const value = text.slice(lineStart + idField.length);
	const end = value.search(lineEnd);
	const content = end === -1 ? value : value.slice(0, end);
	return content.startsWith(' ') ? content.slice(1) : content;
}

/** Offset after the last blank line, or -1. */
function endOfLastEvent(bytes: Buffer, from: number): number {
	for (let index = bytes.length - 1; index > from; index--) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const before = bytes[index - 1];
		if (before === lineFeed || (before === carriageReturn && bytes[index - 2] === lineFeed)) {
			return index + 1;
		}
	}

	return -1;
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
	let pending: Buffer = Buffer.alloc(0);

	return {
		push(chunk) {
			pending = pending.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([pending, chunk]);
			const end = endOfLastEvent(pending, 0);
			if (end === -1) {
				return undefined;
			}

			const bytes = pending.subarray(0, end);
			// A view would keep the memory of the complete events.
			pending = Buffer.from(pending.subarray(end));
			return {bytes, lastId: lastIdOf(bytes.toString('latin1'))};
		},
		remainder: () => pending,
	};
}
