/** HTTP servers for callers, for the load balancer's readiness checks and for metrics. */
import {Buffer} from 'node:buffer';
import {createHash, type Hash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import fastify, {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import {type CallerLimits} from '../fleet/fleet-document.js';
import {
	type BindAddress, closeServer, listenServer, survivePassingErrors,
} from '../http/http-server.js';
import {type LimitServer, limitedServerOptions} from '../http/connection-limits.js';
import {discardBody, hasBody, readBodies} from '../http/request-bodies.js';
import {recordArrivals} from '../http/request-arrivals.js';
import {limitUnfinishedHeads} from '../http/unfinished-heads.js';
import {type Log} from '../observability/log.js';
import {type EventLoopLag} from '../time/event-loop-lag.js';
import {type BufferAccount} from './buffer-account.js';
import {type Forwarder} from './forwarder.js';
import {type RequestHeap} from './request-heap.js';

/** Options of {@link createEntryServer}. */
export type EntryServerOptions = {
	forwarder: Forwarder;
	/** Whether the process is shutting down: responses then close their connections, so that callers reconnect elsewhere. */
	isStopping: () => boolean;
	bufferAccount: BufferAccount;
	requestHeap: RequestHeap;
	/** Upper bound on the bytes of heads that are not complete. */
	maxUnfinishedHeadBytes: number;
	isHeapNearLimit?: () => boolean;
	eventLoopLag: EventLoopLag;
	limitConnections: LimitServer;
	log: Log;
};

/** The server for callers. */
export type EntryServer = {
	listen: (address: BindAddress) => Promise<string>;
	/** Applies new header and idle timeouts. */
	setLimits: (limits: CallerLimits) => void;
	/** Refuses new connections and waits for responses in flight. */
	close: () => Promise<void>;
};

/** Limits until a document is known; sufficient for the largest usual request. */
const initialLimits: CallerLimits = {
	headerBytes: 64 * 1024, bodyBytes: 16 * 1024 * 1024, headerMs: 5000, idleMs: 15_000,
};

/** Interval in milliseconds at which connections are checked for header timeouts. */
const headerCheckMs = 2000;

/** Memory that a body takes from its head on, however little of it has arrived. */
const uploadBytes = 1024;

/** Creates a server that doesn't listen yet. */
export function createEntryServer({
	forwarder, isStopping, bufferAccount, requestHeap, maxUnfinishedHeadBytes, isHeapNearLimit, eventLoopLag, limitConnections, log,
}: EntryServerOptions): EntryServer {
	const app = fastify({
		bodyLimit: initialLimits.bodyBytes,
		exposeHeadRoutes: false,
		forceCloseConnections: 'idle',
		return503OnClosing: false,
		keepAliveTimeout: initialLimits.idleMs,
		http: {
			...limitedServerOptions, maxHeaderSize: initialLimits.headerBytes, headersTimeout: initialLimits.headerMs, connectionsCheckingInterval: headerCheckMs, requestTimeout: 0, noDelay: true,
		},
	});
	survivePassingErrors(app, log);
	const connections = limitConnections(app);
	limitUnfinishedHeads(app, {
		maxBytes: maxUnfinishedHeadBytes,
		maxHeadBytes: initialLimits.headerBytes,
		isHeapNearLimit,
		onExceeded(bytes, count) {
			log.warn('Connections were closed, since their unfinished heads take too much memory.', {bytes, count});
		},
	});
	const takeArrival = recordArrivals(app, eventLoopLag);
	const closeWhenStopping = ({raw: req}: FastifyRequest, {raw: res}: FastifyReply): void => {
		if (isStopping()) {
			res.setHeader('connection', 'close');
		}

		// A stream that began before the shutdown announced a persistent connection. A further
		// request on it could arrive just before the process exits and be cut off, so the
		// connection is closed as soon as the response has been sent.
		res.once('finish', () => {
			if (isStopping()) {
				req.socket.destroySoon();
			}
		});
	};

	app.addHook('onRequest', (req, reply, done) => {
		// A body that there is no space for isn't read first.
		const hasSpace = !hasBody(req.raw) || bufferAccount.hasSpace();
		if (hasSpace && requestHeap.take(req.raw, reply.raw)) {
			done();
			return;
		}

		bufferAccount.abortStalledUploads();
		discardBody(req.raw, connections.recordChunk);
		void reply.hijack();
		closeWhenStopping(req, reply);
		forwarder.refuseOverloaded(req.raw, reply.raw);
	});
	/** Updated with each part, so that hashing a long body doesn't block the process at its end. */
	const bodyHashes = new WeakMap<IncomingMessage, Hash>();
	readBodies(app, {
		maxBytes: initialLimits.bodyBytes,
		onChunk: connections.recordChunk,
		watch(req) {
			const hash = createHash('sha256');
			bodyHashes.set(req, hash);
			const upload = bufferAccount.open({
				mayRepeat: () => true,
				takenBytes: () => req.socket.bytesRead,
				abort() {
					req.destroy();
				},
				isUpload: true,
			});
			upload.add(uploadBytes);
			return {
				part(part) {
					hash.update(part);
				},
				taken: upload.add,
				close: upload.close,
			};
		},
	});
	app.all('*', async (req, reply) => {
		void reply.hijack();
		closeWhenStopping(req, reply);
		try {
			const body = Buffer.isBuffer(req.body) ? {content: req.body, hash: bodyHashes.get(req.raw)!.digest()} : undefined;
			await forwarder.handle(req.raw, body, reply.raw, takeArrival(req.raw));
		} catch (error) {
			log.error('Request handler threw an error.', {err: error});
			forwarder.failed(req.raw, reply.raw);
		}

		return reply;
	});

	return {
		listen: async address => listenServer(app, address, {log}),
		setLimits({headerMs, idleMs}) {
			app.server.headersTimeout = headerMs;
			app.server.keepAliveTimeout = idleMs;
		},
		close: async () => closeServer(app),
	};
}

/** Options of the servers for checks and metrics, whose requests have no bodies. */
const smallServerOptions = {
	forceCloseConnections: true,
	return503OnClosing: false,
	bodyLimit: 1024,
	keepAliveTimeout: 15_000,
	http: {
		...limitedServerOptions, maxHeaderSize: 16 * 1024, headersTimeout: 5000, requestTimeout: 10_000, connectionsCheckingInterval: headerCheckMs,
	},
} as const;

function createSmallServer(limitConnections: LimitServer, log: Log): FastifyInstance {
	const app = fastify(smallServerOptions);
	survivePassingErrors(app, log);
	const {recordChunk} = limitConnections(app);
	app.removeAllContentTypeParsers();
	app.addHook('onRequest', ({raw}, _reply, done) => {
		discardBody(raw, recordChunk);
		done();
	});
	return app;
}

/** Creates the server for the load balancer's readiness checks; responds with 200 or 503. */
export function createReadinessServer(isReady: () => boolean, paths: readonly string[], limitConnections: LimitServer, log: Log): FastifyInstance {
	const app = createSmallServer(limitConnections, log);
	for (const path of paths) {
		app.get(path, async (_req, reply) => reply.code(isReady() ? 200 : 503).send({ready: isReady()}));
	}

	return app;
}

/** Adds a route that serves metrics as text. */
export function serveMetrics(app: FastifyInstance, text: () => Promise<string>): void {
	app.get('/metrics', async (_req, reply) => reply.type('text/plain').send(await text()));
}

/** Creates a server that serves only metrics. */
export function createMetricsServer(text: () => Promise<string>, limitConnections: LimitServer, log: Log): FastifyInstance {
	const app = createSmallServer(limitConnections, log);
	serveMetrics(app, text);
	return app;
}
