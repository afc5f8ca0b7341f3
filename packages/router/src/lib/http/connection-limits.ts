/**
 * Bounds what connections make a server hold and do, before it is known who sends: their number, the requests that
 * wait for responses before them, and the work that they cause in one turn of the event loop.
 */
import {type IncomingMessage, type RequestListener, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type FastifyInstance} from 'fastify';
import {type ConnectionTurns} from './connection-turns.js';

/** Limits of one server. */
export type ServerLimits = {
	/** Upper bound on open connections. */
	maxConnections: number;
	/** Upper bound on the requests that wait on one connection. */
	maxPipelined: number;
	/** Upper bound on the requests that wait on all connections of the server. */
	maxPipelinedTotal: number;
	/** Meters all connections from the start; otherwise once one of them is expensive. Metering takes a little time at each read. */
	isMetered: boolean;
};

/** Why connections are closed. */
export type CloseReason = 'idle' | 'too_many' | 'pipelined';

/** Options of {@link limitConnections}. */
export type LimitOptions = ServerLimits & {
	turns: ConnectionTurns;
	/** Called when connections are closed since a bound was exceeded. */
	onClosed: (reason: CloseReason, count: number) => void;
};

/** An open connection; `unanswered` counts the requests whose responses aren't closed. */
type Connection = {
	unanswered: number;
	hasRequested: boolean;
	idleSince: number;
	/** Responses that wait for those before them. */
	waiting: Set<ServerResponse>;
	onResponseClosed: (this: ServerResponse) => void;
};

/** Part of the connections that are closed at a time, the longest idle ones first. */
const closedRatio = 0.05;

const statusBadRequest = 400;
const statusExpectationFailed = 417;

/** The connections of one server. */
export type LimitedConnections = {
	/** Records that a chunk of a body has arrived. */
	recordChunk: (socket: Socket) => void;
};

/** Limits the connections of a server. */
export type LimitServer = (app: FastifyInstance) => LimitedConnections;

/** Options that keep the runtime from answering requests by itself, without any bound. */
export const limitedServerOptions = {requireHostHeader: false} as const;

/** Limits the connections of a server that doesn't listen yet and was created with {@link limitedServerOptions}. */
export function limitConnections({server}: FastifyInstance, options: LimitOptions): LimitedConnections {
	const {maxConnections, maxPipelined, maxPipelinedTotal, isMetered, turns, onClosed} = options;
	const connections = new Map<Socket, Connection>();
	const handlers = server.listeners('request') as RequestListener[];
	let totalWaiting = 0;

	const closeIdle = (): number => {
		const idle = [...connections].filter(([, {unanswered}]) => unanswered === 0);
		const byAge = idle.toSorted(([, a], [, b]) => Number(a.hasRequested) - Number(b.hasRequested) || a.idleSince - b.idleSince);
		const closing = byAge.slice(0, Math.ceil(maxConnections * closedRatio));
		for (const [socket] of closing) {
			connections.delete(socket);
			socket.destroy();
		}

		return closing.length;
	};

	/** Returns whether there is room for one more connection. */
	const makeRoom = (): boolean => {
		if (connections.size < maxConnections) {
			return true;
		}

		const count = closeIdle();
		onClosed(count > 0 ? 'idle' : 'too_many', Math.max(1, count));
		return count > 0;
	};

	const meterAll = (): void => {
		for (const socket of connections.keys()) {
			turns.meter(socket);
		}
	};

	const endConnection = ({waiting}: Connection): void => {
		for (const res of waiting) {
			if (res.socket === null) {
				// Node.js tells only the first response of a connection that it has closed.
				res.destroy();
				res.emit('close');
			}
		}
	};

	const createConnection = (): Connection => {
		const connection: Connection = {
			unanswered: 0,
			hasRequested: false,
			idleSince: performance.now(),
			waiting: new Set(),
			onResponseClosed() {
				connection.unanswered--;
				connection.idleSince = performance.now();
				if (connection.waiting.delete(this)) {
					totalWaiting--;
				}
			},
		};
		return connection;
	};

	server.on('connection', (socket: Socket) => {
		if (!makeRoom()) {
			socket.destroy();
			return;
		}

		const connection = createConnection();
		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
			endConnection(connection);
		});
		if (isMetered || turns.isCrowded()) {
			turns.meter(socket);
		}
	});

	/** Returns whether a request is handled; otherwise its connection is closed. */
	const admit = ({socket}: IncomingMessage, res: ServerResponse): boolean => {
		const connection = connections.get(socket);
		if (connection === undefined || socket.destroyed) {
			return false;
		}

		if (turns.record(socket, 'request')) {
			meterAll();
		}

		// A response gets its socket once those before it are finished.
		if (res.socket === null) {
			if (connection.waiting.size >= maxPipelined || totalWaiting >= maxPipelinedTotal) {
				onClosed('pipelined', 1);
				socket.destroy();
				return false;
			}

			connection.waiting.add(res);
			totalWaiting++;
		}

		connection.unanswered++;
		connection.hasRequested = true;
		res.once('close', connection.onResponseClosed);
		return true;
	};

	const refuse = (res: ServerResponse, status: number): void => {
		res.writeHead(status, {connection: 'close', 'content-length': 0});
		res.end();
	};

	server.removeAllListeners('request');
	server.on('request', (req, res) => {
		if (!admit(req, res)) {
			return;
		}

		if (req.headers.host === undefined && req.httpVersion === '1.1') {
			refuse(res, statusBadRequest);
			return;
		}

		for (const handle of handlers) {
			handle(req, res);
		}
	});
	server.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => {
		if (admit(req, res)) {
			refuse(res, statusExpectationFailed);
		}
	});

	return {
		recordChunk(socket) {
			if (turns.record(socket, 'chunk')) {
				meterAll();
			}
		},
	};
}
