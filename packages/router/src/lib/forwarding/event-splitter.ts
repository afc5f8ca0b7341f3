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
const idField = /(?:^|\n)id: ?(?<id>[^\r\n]*)/gv;

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
			pending = pending.length === 0 ? Buffer.from(chunk) : Buffer.concat([pending, chunk]);
			const end = endOfLastEvent(pending, 0);
			if (end === -1) {
				return undefined;
			}

			const bytes = pending.subarray(0, end);
			pending = pending.subarray(end);
			let lastId: string | undefined;
			for (const match of bytes.toString('latin1').matchAll(idField)) {
				lastId = match.groups!.id;
			}

			return {bytes, lastId};
		},
		remainder: () => pending,
	};
}
