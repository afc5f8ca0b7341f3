/** Records when requests arrived, as far as a process that may be late can know. */
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {type FastifyInstance} from 'fastify';
import {type EventLoopLag, maxLagMs} from '../time/event-loop-lag.js';

/** Arrival of one request. */
export type RequestArrival = {
	/** `performance.now()` at which its head had arrived for certain. */
	readAt: number;
	/** Upper bound in milliseconds of the age of events of its connection that have not been read, such as its end. */
	lagMs: number;
};

/** Returns the arrival of a request; to be called once for each request, when it is complete. */
export type TakeArrival = (req: IncomingMessage) => RequestArrival;

/** Starts recording the requests of a server. */
export function recordArrivals(app: FastifyInstance, eventLoopLag: EventLoopLag): TakeArrival {
	/** `performance.now()` before which a connection, on which no request was handled yet, has not arrived. */
	const connectedSince = new WeakMap<Socket, number>();
	const readAt = new WeakMap<IncomingMessage, number>();
	const recordAccept = eventLoopLag.watchAccepts();
	app.server.on('connection', (socket: Socket) => {
		eventLoopLag.recordTurn();
		connectedSince.set(socket, recordAccept());
	});
	app.addHook('onRequest', (req, _reply, done) => {
		readAt.set(req.raw, eventLoopLag.recordTurn());
		done();
	});

	return req => {
		eventLoopLag.recordTurn();
		const now = performance.now();
		const since = connectedSince.get(req.socket) ?? now;
		connectedSince.delete(req.socket);
		return {readAt: readAt.get(req) ?? now, lagMs: Math.max(eventLoopLag.lagMs(), now - since)};
	};
}

/** Keeps requests from the handlers of a server whose callers left while the process was late. */
export function skipLeftCallers(app: FastifyInstance, eventLoopLag: EventLoopLag): void {
	const takeArrival = recordArrivals(app, eventLoopLag);
	app.addHook('preHandler', async (req, reply) => {
		if (takeArrival(req.raw).lagMs <= maxLagMs) {
			return;
		}

		await eventLoopLag.catchUp();
		if (req.raw.socket.readableEnded || req.raw.socket.destroyed) {
			void reply.hijack();
		}
	});
}
