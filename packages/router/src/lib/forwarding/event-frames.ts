/**
 * Cuts a stream of events into whole events, byte for byte as they came. An
 * endpoint may stop in the middle of an event; what the caller gets ends with
 * a whole one, so that another endpoint can go on behind it.
 */
import {Buffer} from 'node:buffer';

/** A whole event, or several that arrived together. */
export type EventFrames = {
	/** The bytes, blank lines included. */
	bytes: Buffer;
	/** Id of the last event among them that has one. */
	lastId: string | undefined;
};

/** Cuts one stream. */
export type EventCutter = {
	/** Adds bytes; returns the whole events that they complete. */
	push: (chunk: Uint8Array) => EventFrames | undefined;
	/** Bytes behind the last whole event. */
	rest: () => Buffer;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const idField = /(?:^|\n)id: ?(?<id>[^\r\n]*)/gv;

/** Where the last blank line ends, or -1. */
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

/** Creates a cutter for one stream. */
export function createEventCutter(): EventCutter {
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
		rest: () => pending,
	};
}
