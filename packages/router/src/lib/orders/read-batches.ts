/**
 * Decides when sockets are read: not at all while a response is held back, and otherwise at once or
 * in batches. Instead of waking the process for each small write of an endpoint, a socket is left
 * unread for an interval and then read once. Sockets with the same interval are read in the same
 * wake-up.
 */
import {type Socket} from 'node:net';

/** High-water mark in bytes with which a socket has to be opened, so that it stops reading after each chunk. */
export const batchedHighWaterMark = 1;

/** Time in milliseconds in which each socket that waits for turns has been preferred once. */
const turnsMs = 1000;

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
	/** From its next read on, lets other work run between any two reads of such sockets, until {@link ReadBatches.stop}. */
	takeTurns: (socket: Socket) => void;
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
	const costly = new WeakSet<Socket>();
	/** Sockets that wait for their turn, with the read that is due. */
	const turns = new Map<Socket, () => void>();
	let isTurnDue = false;
	let preferred: Socket | undefined;
	let preferredUntil = Number.NEGATIVE_INFINITY;

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

	/** The socket that is read first, so that its response ends and releases its memory before all others have as much. */
	const preferredSocket = (): Socket | undefined => {
		const now = performance.now();
		if (now >= preferredUntil) {
			[preferred] = turns.keys();
			preferredUntil = now + (turnsMs / turns.size);
		}

		return preferred;
	};

	/** Reads one socket; the event loop polls the others before the next turn. */
	const runTurn = (): void => {
		isTurnDue = false;
		const [first] = turns.keys();
		if (first === undefined) {
			return;
		}

		const favoured = preferredSocket();
		const socket = favoured !== undefined && turns.has(favoured) ? favoured : first;
		const read = turns.get(socket)!;
		turns.delete(socket);
		read();
		scheduleTurn();
	};

	const scheduleTurn = (): void => {
		if (!isTurnDue && turns.size > 0) {
			isTurnDue = true;
			setImmediate(runTurn);
		}
	};

	const readInTurn = (socket: Socket, read: () => void): void => {
		turns.set(socket, read);
		scheduleTurn();
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

				const readWhenDue = (): void => {
					(costly.has(socket) ? readInTurn : readInBatch)(socket, readNow);
				};

				if (held.has(socket)) {
					held.set(socket, readWhenDue);
				} else {
					readWhenDue();
				}
			};
		},
		start(socket, everyMs) {
			intervals.set(socket, everyMs);
		},
		stop(socket) {
			if (socket === preferred) {
				preferred = undefined;
				preferredUntil = Number.NEGATIVE_INFINITY;
			}

			const batch = batches.get(intervals.get(socket) ?? 0);
			const read = batch?.get(socket) ?? turns.get(socket);
			batch?.delete(socket);
			turns.delete(socket);
			intervals.delete(socket);
			costly.delete(socket);
			read?.();
			release(socket);
		},
		hold(socket) {
			if (!held.has(socket)) {
				held.set(socket, undefined);
			}
		},
		release,
		takeTurns(socket) {
			costly.add(socket);
		},
	};
}
