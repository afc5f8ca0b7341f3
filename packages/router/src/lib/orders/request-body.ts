/**
 * The body of a caller's request. It is read once from the connection and can be
 * opened for several attempts in bounded memory.
 */
import {createByteCollector} from '../buffers/byte-collector.js';

/** A request body that is still being received. */
export type RequestBody = {
	/** Length in bytes; `undefined` when the body is chunked. */
	length: number | undefined;
	/** Whether {@link open} would yield the whole body from its first byte. */
	canOpen: () => boolean;
	/** Reads the body from its first byte; one reader at a time, a new one ends the one before. */
	open: () => AsyncIterable<Uint8Array>;
	/** Reads the whole body; resolves to `undefined` if it is longer than `limit` bytes. */
	readAll: (limit: number) => Promise<Uint8Array | undefined>;
	/** Drops what is kept and the rest as it arrives: the caller's next request on the connection comes after it. */
	discard: () => Promise<void>;
};

/** Options of {@link createRequestBody}. */
export type RequestBodyOptions = {
	/** Source of the chunks; read only as fast as the attempt consumes them. */
	source: AsyncIterator<Uint8Array>;
	/** Length in bytes, if the caller stated it. */
	length?: number;
	/** Bytes that are kept for another attempt; a longer body can be opened only once. */
	replayBytes: number;
};

/** Chunks are joined up to this size, since each is an object of some hundred bytes. */
const joinedBytes = 1024;

/** Without the pool of small buffers, of which each of them would keep a part that is far larger. */
function join(first: Uint8Array, second: Uint8Array): Uint8Array {
	const joined = new Uint8Array(first.length + second.length);
	joined.set(first);
	joined.set(second, first.length);
	return joined;
}

/** Creates the body of one call. */
export function createRequestBody(options: RequestBodyOptions): RequestBody {
	/** The bytes from `droppedBytes` on. */
	const kept: Uint8Array[] = [];
	let receivedBytes = 0;
	let droppedBytes = 0;
	let replayable = true;
	let ended = false;
	let opened = 0;

	const keep = (chunk: Uint8Array): void => {
		const last = kept.at(-1);
		if (last !== undefined && last.length + chunk.length <= joinedBytes) {
			kept[kept.length - 1] = join(last, chunk);
		} else if (chunk.length > 0) {
			kept.push(chunk);
		}
	};

	const pull = async () => {
		const next = await options.source.next();
		if (next.done) {
			ended = true;
			return;
		}

		keep(next.value);
		receivedBytes += next.value.byteLength;
		replayable &&= receivedBytes <= options.replayBytes;
	};

	/** The kept bytes from a position on, as far as they are in one piece. */
	const keptFrom = (position: number): Uint8Array => {
		let start = droppedBytes;
		for (const chunk of kept) {
			if (position >= start && position < start + chunk.length) {
				return chunk.subarray(position - start);
			}

			start += chunk.length;
		}

		throw new RangeError(`No byte is kept from ${position} on.`);
	};

	const dropBefore = (position: number) => {
		if (replayable) {
			return;
		}

		while (kept.length > 0 && droppedBytes + kept[0].length <= position) {
			droppedBytes += kept.shift()!.length;
		}
	};

	async function * open(): AsyncGenerator<Uint8Array> {
		opened++;
		const reader = opened;
		let position = 0;
		for (;;) {
			// An abandoned attempt may have waited for bytes that only the new one may drop.
			if (reader !== opened) {
				return;
			}

			if (position < receivedBytes) {
				const chunk = keptFrom(position);
				position += chunk.length;
				dropBefore(position);
				yield chunk;
			} else if (ended) {
				return;
			} else {
				await pull();
			}
		}
	}

	return {
		length: options.length,
		canOpen: () => replayable,
		open,
		async readAll(limit) {
			if (options.length !== undefined && options.length > limit) {
				return undefined;
			}

			const content = createByteCollector();
			for await (const chunk of open()) {
				content.add(chunk);
				if (content.length() > limit) {
					return undefined;
				}
			}

			return content.whole();
		},
		async discard() {
			replayable = false;
			opened++;
			kept.length = 0;
			droppedBytes = receivedBytes;
			try {
				while (!ended) {
					const next = await options.source.next();
					ended = next.done === true;
				}
			} catch {
				// The caller has left.
			}
		},
	};
}
