/**
 * Accepts requests of other daemons for endpoints that they can't reach. A request is sent to the
 * endpoint over this daemon's own path or declined, and never passed on to a third daemon.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import fastify from 'fastify';
import {type CallHeaders, type ResponseFacts} from '../fleet/call-headers.js';
import {type FleetView} from '../fleet/fleet-view.js';
import {type LiveEndpoint} from '../fleet/live-endpoint.js';
import {mayAnswer} from '../forwarding/attempt.js';
import {type BufferAccount, type RequestBuffer} from '../forwarding/buffer-account.js';
import {type CallerReply, createCallerReply} from '../forwarding/caller-reply.js';
import {
	type BindAddress, closeServer, listenServer, survivePassingErrors,
} from '../http/http-server.js';
import {type LimitServer, limitedServerOptions} from '../http/connection-limits.js';
import {recordArrivals} from '../http/request-arrivals.js';
import {discardBody, readBodies} from '../http/request-bodies.js';
import {type Log} from '../observability/log.js';
import {type EndpointTransport} from '../orders/endpoint-transport.js';
import {failureClasses} from '../orders/failure-classes.js';
import {EndpointExchangeError} from '../orders/orders-errors.js';
import {type OpinionOn} from '../paths/endpoint-opinion.js';
import {type EndpointPaths} from '../paths/endpoint-paths.js';
import {type BrittleEndpoints} from '../placing/brittle-endpoints.js';
import {type OriginQuestion} from '../streams/origin-finder.js';
import {type OriginAnswer} from '../streams/stream-origin.js';
import {type EventLoopLag, maxLagMs} from '../time/event-loop-lag.js';
import {type WeightsDeadlines} from '../weights/weights-deadlines.js';
import {
	endpointHeader, keyHeader, noPathReason, noRoomReason, outcomeHeader, purposeHeader, reasonHeader, type RelayOutcome, serviceHeader, softwareHeader,
	startedAtHeader, streamHeader, tooLateReason, unframedHeader, weightsHeader, withoutRelayHeaders, wrongKeyReason,
} from '../paths/relay-protocol.js';

/** Options of {@link createRelayServer}. */
export type RelayServerOptions = {
	view: FleetView;
	paths: EndpointPaths;
	transport: EndpointTransport;
	headers: CallHeaders;
	eventLoopLag: EventLoopLag;
	weightsDeadlines: WeightsDeadlines;
	/** Counts the requests at brittle endpoints. */
	brittle: BrittleEndpoints;
	/** Accounts for the bytes of requests of peers, together with those of callers. */
	bufferAccount: BufferAccount;
	/** Whether an endpoint may get a request of this daemon now. */
	mayGetRequests: (endpoint: LiveEndpoint) => boolean;
	/** Records what an endpoint says of itself in a response. */
	onNotices: (endpoint: LiveEndpoint, facts: ResponseFacts) => void;
	/** Tells whether an endpoint accepts connections. */
	opinionOn: OpinionOn;
	/** Tells where a stream began. */
	originOf: (question: OriginQuestion) => Promise<OriginAnswer>;
	fleetKey: () => string | undefined;
	/** The process is stopping and accepts no further requests. */
	isStopping: () => boolean;
	/** Called with the reason why a request was declined. */
	onDeclined: (reason: string) => void;
	limitConnections: LimitServer;
	log: Log;
};

/** The server for other daemons. */
export type RelayServer = {
	listen: (address: BindAddress) => Promise<string>;
	/** Refuses new connections and waits for responses in flight. */
	close: () => Promise<void>;
	/** Number of requests in flight. */
	inFlight: () => number;
};

/** A peer's request for an endpoint; `deadlineAt` is by `performance.now()`. */
type RelayedCall = {req: IncomingMessage; body: unknown; reply: CallerReply; endpoint: LiveEndpoint; deadlineAt: number; buffer: RequestBuffer};

/** Upper bound on requests in flight, which protects the callers of this daemon. */
const maxInFlight = 256;

/** The same bound as for the bodies of callers; operators' limits are below it. */
const maxBodyBytes = 16 * 1024 * 1024;

/** Larger than the headers of any request that a daemon accepts from a caller. */
const maxHeaderBytes = 128 * 1024;

/** Time in milliseconds in which the head of a request has to arrive. */
const headMs = 5000;

const statusOk = 200;
const statusUnavailable = 503;

/** Creates a server that doesn't listen yet. */
export function createRelayServer(options: RelayServerOptions): RelayServer {
	const {
		view, paths, transport, headers, eventLoopLag, brittle, bufferAccount, log,
	} = options;
	let inFlight = 0;

	const respond = (res: ServerResponse, status: number, outcome: RelayOutcome, reason: string): void => {
		res.writeHead(status, {[outcomeHeader]: outcome, [reasonHeader]: reason, 'content-length': 0});
		res.end();
	};

	const decline = (res: ServerResponse, reason: string): void => {
		options.onDeclined(reason);
		respond(res, statusUnavailable, 'declined', reason);
	};

	const digest = (key: string): Buffer => createHash('sha256').update(key).digest();

	const isFromFleet = (req: IncomingMessage): boolean => {
		const key = options.fleetKey();
		const sent = req.headers[keyHeader];
		return key !== undefined && typeof sent === 'string' && timingSafeEqual(digest(sent), digest(key));
	};

	const endpointOf = (req: IncomingMessage): LiveEndpoint | undefined => {
		const endpoint = view.endpoint(String(req.headers[endpointHeader]));
		return endpoint?.startedAt === Number(req.headers[startedAtHeader]) ? endpoint : undefined;
	};

	/** Calls `abort` once the weights of a request that hasn't begun are too old, also where its sender is out of reach. */
	const watchWeights = (req: IncomingMessage, hasBegun: () => boolean, abort: () => void): () => void => {
		const {model} = headers.readCall(req.rawHeaders);
		const weights = Number(req.headers[weightsHeader] ?? Number.NaN);
		if (model === undefined || Number.isNaN(weights)) {
			return () => undefined;
		}

		return options.weightsDeadlines.watch({
			model,
			weights,
			onOutdated() {
				if (!hasBegun()) {
					abort();
				}
			},
		});
	};

	/** `performance.now()` at which the time of a request is over. */
	const deadlineOf = (req: IncomingMessage, readAt: number): number => readAt + (headers.readCall(req.rawHeaders).remainingMs ?? Number.POSITIVE_INFINITY);

	/** Sends the request over the own path and resolves when the response has ended. */
	const passOn = async ({
		req, body, reply, endpoint, deadlineAt, buffer,
	}: RelayedCall): Promise<'passed' | {outcome: RelayOutcome; reason: string}> => new Promise(resolve => {
		const watch = paths.watch(endpoint);
		let hasBegun = false;
		/** Bytes that were read after the peer had stopped reading. */
		let heldBytes = 0;
		let endWeightsWatch = (): void => undefined;
		const target = {name: endpoint.id, address: `http://${endpoint.address}`};
		const {requestId} = headers.readCall(req.rawHeaders);
		transport.allowConnectionReuse(target);
		const exchange = transport.send({
			endpoint: target,
			method: req.method ?? 'GET',
			path: req.url ?? '/',
			headers: headers.withRemaining(withoutRelayHeaders(req.rawHeaders), deadlineAt - performance.now()),
			...(Buffer.isBuffer(body) && body.length > 0 && {body: {kind: 'whole', content: body}}),
			dedicatedConnection: paths.isUnproven(endpoint),
		}, {
			beforeSend: () => !reply.isDisconnected() && performance.now() < deadlineAt,
			progress: () => undefined,
			head(head) {
				watch.heard();
				const facts = headers.readResponse(head.headers, head.status);
				if (requestId !== undefined && !mayAnswer(requestId, facts.requestId, head.isOnUsedConnection)) {
					endWeightsWatch();
					watch.ended();
					// First, since the abort reports a reset.
					resolve({outcome: 'failed', reason: 'crossed'});
					exchange.abort(new EndpointExchangeError('The response belongs to another request.'), true);
					return;
				}

				options.onNotices(endpoint, facts);
				if (facts.provesNotRun && head.status === statusUnavailable) {
					brittle.turnedAway(endpoint);
				}

				reply.head(head.status, [...withoutRelayHeaders(headers.forCaller(head.headers)), outcomeHeader, 'passed', ...(facts.isUnframed ? [unframedHeader, '1'] : [])]);
			},
			data(chunk) {
				hasBegun = true;
				watch.heard();
				if (!reply.write(chunk)) {
					const unsentBytes = reply.unsentBytes();
					buffer.add(unsentBytes);
					exchange.pause();
					reply.onDrain(() => {
						buffer.add(-unsentBytes - heldBytes);
						heldBytes = 0;
						exchange.resume();
					});
				}
			},
			held(bytes) {
				heldBytes += bytes;
				buffer.add(bytes);
			},
			end() {
				endWeightsWatch();
				watch.ended();
				reply.end();
				resolve('passed');
			},
			failed(failure) {
				endWeightsWatch();
				watch.ended();
				if (failure === 'connect_failed') {
					paths.connectFailed(endpoint);
				}

				resolve(failureClasses[failure].reach === 'nothing'
					? {outcome: 'declined', reason: failure === 'withdrawn' ? tooLateReason : noPathReason}
					: {outcome: 'failed', reason: failure});
			},
		});
		endWeightsWatch = watchWeights(req, () => hasBegun, () => {
			watch.ended();
			// First, since the abort reports a reset.
			resolve({outcome: 'failed', reason: 'outdated'});
			exchange.abort(new EndpointExchangeError('The weights of the request became too old.'), false);
		});
		reply.onDisconnect(() => {
			endWeightsWatch();
			watch.ended();
			exchange.abort(new EndpointExchangeError('The peer disconnected.'), false);
			resolve('passed');
		});
	});

	const handleSend = async (req: IncomingMessage, body: unknown, res: ServerResponse, endpoint: LiveEndpoint): Promise<void> => {
		const {readAt, lagMs} = takeArrival(req);
		const deadlineAt = deadlineOf(req, readAt);
		const reply = createCallerReply(res);
		if (lagMs > maxLagMs) {
			await eventLoopLag.catchUp();
		}

		if (reply.isDisconnected()) {
			return;
		}

		// The process may have begun to stop in the meantime.
		if (options.isStopping()) {
			decline(res, 'stopping');
			return;
		}

		if (performance.now() >= deadlineAt) {
			decline(res, tooLateReason);
			return;
		}

		if (paths.isLost(endpoint)) {
			decline(res, noPathReason);
			return;
		}

		if (inFlight >= maxInFlight || !bufferAccount.hasSpace() || !options.mayGetRequests(endpoint)) {
			decline(res, 'busy');
			return;
		}

		if (!brittle.hasRoom(endpoint)) {
			decline(res, noRoomReason);
			return;
		}

		const buffer = bufferAccount.open({
			// The peer knows whether it may send the request again.
			mayRepeat: () => false,
			takenBytes: () => req.socket.bytesWritten,
			abort: reply.abort,
		});
		reply.onClose(buffer.close);
		buffer.add(Buffer.isBuffer(body) ? body.length : 0);
		const ended = brittle.started(endpoint);
		inFlight++;
		try {
			const result = await passOn({
				req, body, reply, endpoint, deadlineAt, buffer,
			});
			if (result === 'passed' || reply.isDisconnected()) {
				return;
			}

			if (reply.isStarted()) {
				// A partial response must not look complete.
				reply.abort();
			} else if (result.outcome === 'declined') {
				decline(res, result.reason);
			} else {
				respond(res, statusUnavailable, result.outcome, result.reason);
			}
		} finally {
			ended();
			inFlight--;
		}
	};

	const answerOrigin = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const answer = await options.originOf({key: String(req.headers[streamHeader]), service: decodeURIComponent(String(req.headers[serviceHeader] ?? ''))});
		if (answer.kind !== 'unknown') {
			res.setHeader(serviceHeader, encodeURIComponent(answer.origin.service));
			res.setHeader(softwareHeader, encodeURIComponent(answer.origin.software));
		}

		respond(res, statusOk, 'passed', answer.kind);
	};

	const handle = async (req: IncomingMessage, body: unknown, res: ServerResponse): Promise<void> => {
		if (req.headers[purposeHeader] === 'origin') {
			await answerOrigin(req, res);
			return;
		}

		const endpoint = endpointOf(req);
		if (endpoint === undefined) {
			decline(res, 'unknown_endpoint');
		} else if (req.headers[purposeHeader] === 'check') {
			respond(res, statusOk, 'passed', await options.opinionOn(endpoint));
		} else {
			await handleSend(req, body, res, endpoint);
		}
	};

	const app = fastify({
		bodyLimit: maxBodyBytes, exposeHeadRoutes: false, forceCloseConnections: 'idle', return503OnClosing: false, http: {
			...limitedServerOptions, maxHeaderSize: maxHeaderBytes, headersTimeout: headMs, connectionsCheckingInterval: headMs / 2, requestTimeout: 0, noDelay: true,
		},
	});
	const takeArrival = recordArrivals(app, eventLoopLag);
	survivePassingErrors(app, log);
	const connections = options.limitConnections(app);
	readBodies(app, {maxBytes: maxBodyBytes, onChunk: connections.recordChunk});
	// Before the body is read.
	app.addHook('onRequest', (req, reply, done) => {
		if (isFromFleet(req.raw)) {
			done();
			return;
		}

		discardBody(req.raw, connections.recordChunk);
		void reply.hijack();
		decline(reply.raw, wrongKeyReason);
	});
	app.all('*', async (req, reply) => {
		void reply.hijack();
		if (options.isStopping()) {
			reply.raw.setHeader('connection', 'close');
		}

		try {
			await handle(req.raw, req.body, reply.raw);
		} catch (error) {
			log.error('Handler of a peer\'s request threw an error.', {err: error});
			if (!reply.raw.writableEnded) {
				reply.raw.destroy();
			}
		}

		return reply;
	});

	return {
		listen: async address => listenServer(app, address, {log}),
		close: async () => closeServer(app),
		inFlight: () => inFlight,
	};
}
