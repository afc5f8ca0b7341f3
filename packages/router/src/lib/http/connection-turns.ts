/**
 * Gives connections turns by what they cost. Node.js parses all that has arrived on a connection, up to two megabytes,
 * before it reads from another one, and a small request or chunk takes far more time and memory to handle than to send.
 *
 * Connections are read by the runtime until one of them costs much in a turn of the event loop. From then on,
 * connections are metered: each is read in slices, and one that has used up its share waits for time that others leave.
 */
import {type Socket} from 'node:net';

/** The turns of all connections of a process. */
export type ConnectionTurns = {
	/** Reads a connection in slices from now on. */
	meter: (socket: Socket) => void;
	/** Records what a connection made the process do; returns whether that is too much for one turn of the event loop. */
	record: (socket: Socket, cost: Cost) => boolean;
	/** Whether a connection was too expensive a short time ago. */
	isCrowded: () => boolean;
	/** Number of connections that wait for their turn. */
	waiting: () => number;
	/** Number of connections that were closed since too much waits. */
	closedCount: () => number;
};

/** What a connection causes, and its costs. */
export type Cost = keyof typeof costs;

/** Options of {@link createConnectionTurns}. */
export type ConnectionTurnsOptions = {
	/** Identifies the current turn of the event loop. */
	turnOf: () => number;
	/** Upper bound on the bytes that wait to be parsed. */
	maxWaitingBytes: number;
	/** Called when a connection is closed since too much waits. */
	onClosed?: (closed: {bytes: number; count: number}) => void;
};

/** Units in a turn of the event loop, and milliseconds beyond the time of parsing. */
const costs = {
	request: {units: 8, ms: 0.3},
	chunk: {units: 1, ms: 0},
} as const;

/** A long body that is read as a whole stays far below. */
const maxUnitsPerTurn = 128;

/** Time in milliseconds for which new connections are metered after one was too expensive. */
const crowdMs = 5000;

/** Bytes that are parsed at a time: some hundred of the smallest chunks. */
const sliceBytes = 2048;

/** Time in milliseconds that waiting connections take in a turn of the event loop. */
const turnMs = 10;

/** Milliseconds that a connection may use before it waits, and the share of time by which they are earned. */
const burstMs = 1;
const earnedShare = 0.05;

type Usage = {turn: number; units: number};

/** A metered connection. `heldBytes` have been read and wait to be parsed. */
type Metered = {socket: Socket; usedMs: number; totalMs: number; earnedAt: number; heldBytes: number};

/** Whether Node.js has stopped a connection whose responses aren't read; its parser takes nothing then. */
const isStoppedByRuntime = (socket: Socket & {_paused?: boolean}): boolean => socket._paused === true;

/** Creates the turns of a process. */
export function createConnectionTurns({turnOf, maxWaitingBytes, onClosed = () => undefined}: ConnectionTurnsOptions): ConnectionTurns {
	const usage = new WeakMap<Socket, Usage>();
	const metered = new WeakMap<Socket, Metered>();
	const holding = new Set<Metered>();
	const queue = new Set<Metered>();
	let waitingBytes = 0;
	let crowdedUntil = Number.NEGATIVE_INFINITY;
	let isScheduled = false;
	let closed = 0;

	const setHeld = (connection: Metered, bytes: number): void => {
		waitingBytes += bytes - connection.heldBytes;
		connection.heldBytes = bytes;
		if (bytes > 0) {
			holding.add(connection);
		} else {
			holding.delete(connection);
		}
	};

	const forget = (connection: Metered): void => {
		setHeld(connection, 0);
		queue.delete(connection);
	};

	const hasTooMuch = (): boolean => waitingBytes > maxWaitingBytes;

	const closeMostExpensive = (): void => {
		let worst: Metered | undefined;
		for (const connection of holding) {
			if (worst === undefined || connection.totalMs > worst.totalMs) {
				worst = connection;
			}
		}

		if (worst !== undefined) {
			closed++;
			onClosed({bytes: waitingBytes, count: holding.size});
			forget(worst);
			worst.socket.destroy();
		}
	};

	const hasShare = (connection: Metered): boolean => {
		const now = performance.now();
		connection.usedMs = Math.max(0, connection.usedMs - ((now - connection.earnedAt) * earnedShare));
		connection.earnedAt = now;
		return connection.usedMs < burstMs;
	};

	const use = (connection: Metered, ms: number): void => {
		connection.usedMs += ms;
		connection.totalMs += ms;
	};

	/** Its responses are read first, or no end would be in sight. */
	const isBlocked = ({socket}: Metered): boolean => isStoppedByRuntime(socket) || (socket.readableLength > 0 && socket.writableNeedDrain);

	/** Parses the next slice. Without any bytes left, this reads the end of the connection. */
	const parseSlice = (connection: Metered): void => {
		const {socket} = connection;
		const startedAt = performance.now();
		socket.read(socket.readableLength === 0 ? undefined : Math.min(sliceBytes, socket.readableLength));
		use(connection, performance.now() - startedAt);
	};

	const wait = (connection: Metered): void => {
		if (connection.socket.destroyed || connection.socket.readableLength === 0) {
			forget(connection);
			return;
		}

		setHeld(connection, Math.max(connection.heldBytes, connection.socket.readableLength));
		if (!isBlocked(connection)) {
			queue.add(connection);
			schedule();
		}

		while (hasTooMuch()) {
			closeMostExpensive();
		}
	};

	const pump = (connection: Metered): void => {
		if (queue.has(connection)) {
			return;
		}

		if (!isBlocked(connection) && hasShare(connection)) {
			parseSlice(connection);
		}

		wait(connection);
	};

	const runTurn = (): void => {
		isScheduled = false;
		let leftMs = turnMs;
		// A connection that waits again is added at the end of the set, and so is visited again.
		for (const connection of queue) {
			queue.delete(connection);
			const before = connection.totalMs;
			if (!isBlocked(connection)) {
				parseSlice(connection);
			}

			wait(connection);
			leftMs -= connection.totalMs - before;
			if (leftMs <= 0) {
				break;
			}
		}

		if (queue.size > 0) {
			schedule();
		}
	};

	/** Sockets are read in between. */
	const schedule = (): void => {
		if (!isScheduled) {
			isScheduled = true;
			setImmediate(runTurn);
		}
	};

	return {
		meter(socket) {
			if (metered.has(socket) || socket.destroyed) {
				return;
			}

			const connection: Metered = {
				socket, usedMs: 0, totalMs: 0, earnedAt: performance.now(), heldBytes: 0,
			};
			metered.set(socket, connection);
			const resume = (): void => {
				pump(connection);
			};

			// A listener of this event makes Node.js pass the bytes through the stream.
			socket.on('readable', resume);
			socket.on('drain', resume);
			socket.on('resume', resume);
			socket.once('close', () => {
				forget(connection);
			});
		},
		record(socket, cost) {
			const {units, ms} = costs[cost];
			const connection = metered.get(socket);
			if (connection !== undefined) {
				use(connection, ms);
				return false;
			}

			const turn = turnOf();
			const used = usage.get(socket);
			if (used === undefined) {
				usage.set(socket, {turn, units});
				return false;
			}

			if (used.turn !== turn) {
				used.turn = turn;
				used.units = 0;
			}

			used.units += units;
			if (used.units <= maxUnitsPerTurn) {
				return false;
			}

			crowdedUntil = performance.now() + crowdMs;
			return true;
		},
		isCrowded: () => performance.now() < crowdedUntil,
		waiting: () => holding.size,
		closedCount: () => closed,
	};
}
