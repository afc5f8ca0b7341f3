/**
 * Decides when sockets are read: not at all while a response is held back, and otherwise at once or
 * in batches. Instead of waking the process for each small write of an endpoint, a socket is left
 * unread for an interval and then read once. Sockets with the same interval are read in the same
 * wake-up.
 */
import {type Socket} from 'node:net';

/** High-water mark in bytes with which a socket has to be opened, so that it stops reading after each chunk. */
export const batchedHighWaterMark = 1;

/** Controls when sockets are read. */
export type ReadBatches = {
	/** Prepares a socket; it is read at once until {@link ReadBatches.start}. */
	attach: (socket: Socket) => void;
	/** From its next chunk on, reads a socket once per interval. */
	start: (socket: Socket, everyMs: number) => void;
	/** Reads a socket at once again. */
	stop: (socket: Socket) => void;
	/**
	 * Leaves a socket unread until {@link ReadBatches.release}; a chunk that was read before may still arrive. Undici's
	 * own pause fails an assertion, which ends the process, if a paused connection is reset.
	 */
	hold: (socket: Socket) => void;
	release: (socket: Socket) => void;
};

/** Sockets whose next read is due at the same time. */
type Batch = Map<Socket, () => void>;

/** Creates the control; a timer runs only while a read is due. */
export function createReadBatches(): ReadBatches {
	const intervals = new WeakMap<Socket, number>();
	/** By interval. */
	const batches = new Map<number, Batch>();
	/** Sockets that are held back, with the read that is due. */
	const held = new WeakMap<Socket, (() => void) | undefined>();

	const flush = (everyMs: number): void => {
		const batch = batches.get(everyMs) ?? new Map<Socket, () => void>();
		batches.delete(everyMs);
		for (const read of batch.values()) {
			read();
		}
	};

	const openBatch = (everyMs: number): Batch => {
		const batch: Batch = new Map();
		batches.set(everyMs, batch);
		setTimeout(flush, everyMs, everyMs);
		return batch;
	};

	const readInBatch = (socket: Socket, read: () => void): void => {
		const everyMs = intervals.get(socket);
		if (everyMs === undefined) {
			read();
		} else {
			(batches.get(everyMs) ?? openBatch(everyMs)).set(socket, read);
		}
	};

	const release = (socket: Socket): void => {
		const read = held.get(socket);
		held.delete(socket);
		read?.();
	};

	return {
		attach(socket) {
			const read = socket._read.bind(socket);
			socket._read = size => {
				const readNow = (): void => {
					read(size);
				};

				if (held.has(socket)) {
					held.set(socket, () => {
						readInBatch(socket, readNow);
					});
				} else {
					readInBatch(socket, readNow);
				}
			};
		},
		start(socket, everyMs) {
			intervals.set(socket, everyMs);
		},
		stop(socket) {
			const batch = batches.get(intervals.get(socket) ?? 0);
			const read = batch?.get(socket);
			batch?.delete(socket);
			intervals.delete(socket);
			read?.();
			release(socket);
		},
		hold(socket) {
			if (!held.has(socket)) {
				held.set(socket, undefined);
			}
		},
		release,
	};
}
