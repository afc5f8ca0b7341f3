/** Joins the chunks of each read of an exchange, and holds its events back while their receiver can't take them. */
import {type ByteCollector, createByteCollector} from '../buffers/byte-collector.js';
import {type ExchangeEvents} from './endpoint-transport.js';

/** Events that can be held back. */
export type HeldEvents = {
	/** To be called instead of the receiver's. */
	events: ExchangeEvents;
	hold: () => void;
	/** Delivers what was held back; returns whether the receiver takes more. */
	release: () => boolean;
	/** Drops what was held back. */
	drop: () => void;
};

/** Options of {@link createHeldEvents}. */
export type HeldEventsOptions = {
	/** Ends the exchange, since its receiver has thrown an error. */
	abort: (error: unknown) => void;
	/** Called when a read has brought {@link costlyReadChunks} chunks. */
	onCostlyRead: () => void;
	/** Keeps the connection from being read until `releaseReads`, so that a receiver can pause it before its next read. */
	holdReads: () => void;
	releaseReads: () => void;
};

/** Chunks from which a read takes far longer to parse than one of the same size without them. */
export const costlyReadChunks = 256;

/** Bytes of a read that a part of it may keep; the rest can be the framing of its chunks. */
const maxRestBytes = 16 * 1024;

/** Copies a small part of a read, which would keep the whole read as long as the part waits to be sent. */
const withoutRest = (part: Uint8Array): Uint8Array => part.buffer.byteLength - part.length > maxRestBytes ? new Uint8Array(part) : part;

/**
 * Wraps the receiver's events. A failure is never held back; bytes that were held back come before it.
 *
 * The endpoint decides how many chunks a read has. The receiver gets them as one, and what is held back takes about
 * as much memory as it has bytes.
 */
export function createHeldEvents(receiver: ExchangeEvents, {
	abort, onCostlyRead, holdReads, releaseReads,
}: HeldEventsOptions): HeldEvents {
	let isHeld = false;
	let isFailed = false;
	let chunks = 0;
	/** The only chunk so far, as in most reads. */
	let only: Uint8Array | undefined;
	let bytes: ByteCollector | undefined;
	let end: (() => void) | undefined;

	/** Tells the receiver as well, since the exchange may have ended. */
	const fail = (error: unknown): void => {
		isFailed = true;
		receiver.failed('reset', error);
		abort(error);
	};

	const deliverBytes = (): void => {
		const whole = bytes?.whole() ?? only;
		if (whole === undefined) {
			return;
		}

		only = undefined;
		bytes = undefined;
		try {
			receiver.data(withoutRest(whole));
		} catch (error) {
			fail(error);
		}
	};

	const deliverEnd = (): void => {
		if (!isHeld && !isFailed) {
			end?.();
			end = undefined;
		}
	};

	const deliverRead = (): void => {
		chunks = 0;
		if (!isHeld) {
			deliverBytes();
		}

		if (!isHeld) {
			releaseReads();
		}
	};

	/** Returns the bytes of memory that are taken in addition. */
	const collect = (chunk: Uint8Array): number => {
		bytes ??= createByteCollector();
		if (only !== undefined) {
			bytes.add(only);
			only = undefined;
		}

		return bytes.add(chunk);
	};

	const countChunk = (): void => {
		chunks++;
		if (chunks === 1) {
			holdReads();
			// The parser passes all chunks of a read in one call, which ends before this runs.
			queueMicrotask(deliverRead);
		} else if (chunks === costlyReadChunks) {
			onCostlyRead();
		}
	};

	return {
		events: {
			...receiver,
			data(chunk) {
				if (isFailed) {
					return;
				}

				countChunk();
				if (!isHeld && only === undefined && bytes === undefined) {
					only = chunk;
					return;
				}

				const takenBytes = collect(chunk);
				if (isHeld && takenBytes !== 0) {
					receiver.held?.(takenBytes);
				}
			},
			end(trailers) {
				end = () => {
					receiver.end(trailers);
				};

				if (!isHeld) {
					deliverBytes();
					deliverEnd();
				}
			},
			failed(failure, cause) {
				if (!isFailed) {
					deliverBytes();
					receiver.failed(failure, cause);
				}
			},
		},
		hold() {
			const keptBytes = bytes?.memoryBytes() ?? only?.buffer.byteLength;
			if (!isHeld && keptBytes !== undefined) {
				receiver.held?.(keptBytes);
			}

			isHeld = true;
		},
		release() {
			isHeld = false;
			deliverBytes();
			deliverEnd();
			return !isHeld;
		},
		drop() {
			only = undefined;
			bytes = undefined;
			end = undefined;
		},
	};
}
