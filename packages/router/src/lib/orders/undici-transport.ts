/** Sends requests to endpoints over HTTP/1.1. */
import {Buffer} from 'node:buffer';
import diagnosticsChannel from 'node:diagnostics_channel';
import {type Socket} from 'node:net';
import {type Readable} from 'node:stream';
import {LRUCache} from 'lru-cache';
import {
	buildConnector, Client, Pool, type Dispatcher,
} from 'undici';
import {createEventLoopLag, type EventLoopLag, maxLagMs} from '../time/event-loop-lag.js';
import {
	type EndpointAddress, type EndpointTransport, type Exchange, type ExchangeEvents, type OutgoingRequest,
} from './endpoint-transport.js';
import {
	hasOtherCoding, hasStatusClass, isBodiless, isUnframed,
} from './response-checks.js';
import {type FailureClass} from './failure-classes.js';
import {createConnectTimeout} from './connect-timeout.js';
import {EndpointExchangeError} from './orders-errors.js';
import {createHeldEvents} from './held-events.js';
import {PoolClient} from './pool-client.js';
import {createProgressLimit} from './progress-limit.js';
import {batchedHighWaterMark, createReadBatches} from './read-batches.js';

/** Options of {@link createUndiciTransport}. */
export type UndiciTransportOptions = {
	/** Connection timeout in milliseconds; 1,000 by default. */
	connectMs?: number;
	/** Maximum number of endpoints with a connection pool; 256 by default. */
	maxPools?: number;
	/** Maximum number of reused connections to one endpoint; 32 by default. */
	connectionsPerPool?: number;
	eventLoopLag?: EventLoopLag;
};

const defaultConnectMs = 1000;
const defaultMaxPools = 256;
const defaultConnectionsPerPool = 32;
const firstFinalStatus = 200;

function toStrings(raw: unknown): string[] {
	const texts: string[] = [];
	for (const item of Array.isArray(raw) ? raw : []) {
		texts.push(Buffer.isBuffer(item) ? item.toString('latin1') : String(item));
	}

	return texts;
}

/** Yields the caller's body, reports progress for each chunk, and marks a body that fails. */
async function * trackedBody(chunks: AsyncIterable<Uint8Array>, state: ExchangeState, progress: () => void): AsyncGenerator<Uint8Array> {
	try {
		for await (const chunk of chunks) {
			progress();
			yield chunk;
		}
	} catch (error) {
		state.callerBodyFailed = true;
		throw error;
	}
}

/** Returns the same bytes without a copy, which no account of buffered bytes would know of. */
const asBuffer = (content: Uint8Array): Buffer => Buffer.from(content.buffer, content.byteOffset, content.byteLength);

function outgoingBody({body}: OutgoingRequest, state: ExchangeState, events: ExchangeEvents): Dispatcher.DispatchOptions['body'] {
	if (body?.kind !== 'stream') {
		return body === undefined ? null : asBuffer(body.content);
	}

	const chunks: unknown = trackedBody(body.open(), state, events.progress);
	// Undici accepts any async iterable; its types only declare streams.

	return chunks as Readable;
}

function dispatchOptions(request: OutgoingRequest, state: ExchangeState, events: ExchangeEvents): Dispatcher.DispatchOptions {
	const {pathname} = new URL(request.endpoint.address);
	const headers = [...request.headers];
	const {body} = request;
	if (body?.kind === 'stream' && body.length !== undefined) {
		headers.push('content-length', String(body.length));
	}

	return {
		path: `${pathname.replace(/\/$/v, '')}${request.path}`,
		method: request.method,
		headers,
		// The exchange has its own timers.
		headersTimeout: 0,
		bodyTimeout: 0,
		reset: !state.shared,
		body: outgoingBody(request, state, events),
	};
}

/** The exchange whose request is being written; undici publishes its socket in the same tick. */
let exchangeAwaitingSocket: ExchangeState | undefined;

diagnosticsChannel.subscribe('undici:client:sendHeaders', message => {
	if (exchangeAwaitingSocket !== undefined) {
		exchangeAwaitingSocket.socket = (message as {socket: ExchangeState['socket']}).socket;
		exchangeAwaitingSocket = undefined;
	}
});

/**
 * Whether a connection that has ended was reset. Libuv reports a reset as an ordinary end if it finds unread bytes
 * at the same time; only the missing address of the other side, which nothing may have asked for before, shows it.
 */
const isReset = (socket: Socket): boolean => Boolean(socket.errored) || socket.remoteAddress === undefined;

const usedSockets = new WeakSet<Socket>();

/** Whether the connection has brought a response before this one. */
function recordResponse(socket: Socket | undefined): boolean {
	if (socket === undefined) {
		return false;
	}

	const isUsed = usedSockets.has(socket);
	usedSockets.add(socket);
	return isUsed;
}

/** @internal */
export type ExchangeState = {
	/** The connection carries other requests before or after this one. */
	shared: boolean;
	/** The request was handed to a connected socket. */
	sent: boolean;
	cancelled: boolean;
	ended: boolean;
	/** Reading the caller's request body failed. */
	callerBodyFailed: boolean;
	/** The response can't be passed on, whatever its body. */
	isMalformed?: boolean;
	/** Status of the response, once its head was received. */
	status?: number;
	/** The response has a body that ends with its connection. */
	isUnframed?: boolean;
	/** The connection that carries the exchange. */
	socket?: Socket;
	controller?: Dispatcher.DispatchController;
};

/** What is wrong with the head of a final response; `undefined` if it is sound. */
function faultOf(status: number, headers: readonly string[]): string | undefined {
	if (!hasStatusClass(status)) {
		return `HTTP doesn't define the status ${status}.`;
	}

	return hasOtherCoding(headers) ? 'The response has a transfer coding that was not asked for.' : undefined;
}

/**
 * Creates a handler that turns undici's callbacks into the events of an exchange.
 *
 * @internal
 */
export function createHandler(state: ExchangeState, events: ExchangeEvents, finish: () => void): Dispatcher.DispatchHandler {
	return {
		onRequestStart(controller) {
			// Undici may write a request a second time if its connection closes while
			// it runs, and the endpoint would run an order twice. Refusing the second
			// start limits it to one write.
			if (state.sent) {
				controller.abort(new EndpointExchangeError('The connection closed while the request was in progress. It is not sent again.'));
				return;
			}

			if (state.cancelled || !events.beforeSend(state.shared)) {
				state.cancelled = true;
				controller.abort(new EndpointExchangeError('The request was withdrawn before its first byte was sent.'));
				return;
			}

			state.sent = true;
			state.controller = controller;
			exchangeAwaitingSocket = state;
		},
		onResponseStart(controller, status) {
			if (status >= firstFinalStatus) {
				const headers = toStrings(controller.rawHeaders);
				// Views of the chunk that was read with the head, which they would keep until the exchange ends.
				controller.rawHeaders = null;
				const fault = faultOf(status, headers);
				if (fault !== undefined) {
					state.isMalformed = true;
					controller.abort(new EndpointExchangeError(fault));
					return;
				}

				state.status = status;
				state.isUnframed = !isBodiless(status) && isUnframed(headers);
				events.head({status, headers, isOnUsedConnection: recordResponse(state.socket)});
			}
		},
		onResponseData(_controller, chunk) {
			events.data(chunk);
		},
		onResponseEnd(controller) {
			state.ended = true;
			// A response without a length ends when its connection closes. Undici treats
			// a reset as such an end, so a truncated response would pass as complete.
			if (state.isUnframed === true && state.socket !== undefined && isReset(state.socket)) {
				events.failed('truncated', state.socket.errored);
				finish();
				return;
			}

			events.end(toStrings(controller.rawTrailers));
			finish();
		},
		onResponseError(_controller, error) {
			if (!state.ended) {
				state.ended = true;
				if (isWholeWithoutBody(state, error)) {
					events.end([]);
				} else {
					events.failed(failureOf(state, error), error);
				}
			}

			finish();
		},
	};
}

function hasCode(error: Error, code: string): boolean {
	return 'code' in error && error.code === code;
}

/** Undici checks the stated length even for statuses that have no body. */
function isWholeWithoutBody(state: ExchangeState, error: Error): boolean {
	return state.status !== undefined && isBodiless(state.status) && hasCode(error, 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH');
}

function failureOf(state: ExchangeState, error: Error): FailureClass {
	// A caller whose body fails must not count as a failure of the endpoint.
	if (state.callerBodyFailed) {
		return 'cancelled';
	}

	if (state.isMalformed === true) {
		return 'malformed';
	}

	if (state.sent) {
		return 'reset';
	}

	if (state.cancelled) {
		return 'withdrawn';
	}

	return hasCode(error, 'UND_ERR_INVALID_ARG') ? 'unsendable' : 'connect_failed';
}

/** An exchange with an invalid address, which other processes may state: it fails once the caller has it. */
function failAtOnce(events: ExchangeEvents): Exchange {
	const noop = (): void => undefined;
	queueMicrotask(() => {
		events.failed('connect_failed');
	});
	return {
		pause: noop, resume: noop, batchReads: noop, abort: noop,
	};
}

/**
 * Creates a transport based on undici.
 *
 * Connections are reused only for endpoints whose responses carry the request
 * id (see `allowConnectionReuse`). For other endpoints, the late response to an
 * abandoned request could be taken for the response to the next one.
 *
 * @example
 * const transport = createUndiciTransport({connectMs: 500});
 */
export function createUndiciTransport(options: UndiciTransportOptions = {}): EndpointTransport {
	const readBatches = createReadBatches();
	const progressLimit = createProgressLimit();
	const connectMs = options.connectMs ?? defaultConnectMs;
	const connectTimeout = createConnectTimeout(connectMs);
	const {eventLoopLag = createEventLoopLag()} = options;
	// Without undici's own timeout, whose coarse timer wakes the process twice a second after a connection was opened.
	const socketOptions = {timeout: 0, highWaterMark: batchedHighWaterMark};
	// Undici returns the socket, contrary to its types.
	const openConnection = buildConnector(socketOptions) as (...parameters: Parameters<buildConnector.connector>) => Socket;
	const runCaughtUp = async (run: () => void): Promise<void> => {
		await eventLoopLag.catchUp();
		run();
	};

	const connect: buildConnector.connector = (connectOptions, callback) => {
		const attempt = connectTimeout.start();
		const startedAt = performance.now();
		const socket = openConnection(connectOptions, (...result) => {
			attempt.ended(result[0] === null);
			const goOn = (): void => {
				callback(...result);
			};

			if (performance.now() - startedAt > maxLagMs) {
				// The request's caller may have left meanwhile.
				void runCaughtUp(goOn);
			} else {
				goOn();
			}
		});
		attempt.destroyIfLate(socket);
		readBatches.attach(socket);
		progressLimit.attach(socket);
	};

	const closing = new Set<Promise<void>>();
	const trackClosing = async (work: Promise<void>) => {
		closing.add(work);
		await work;
		closing.delete(work);
	};

	const pools = new LRUCache<string, Pool>({
		max: options.maxPools ?? defaultMaxPools,
		dispose(pool) {
			void trackClosing(pool.close());
		},
	});
	const dedicatedClients = new Set<Client>();

	const openClient = (origin: string) => {
		const client = new Client(origin, {connect, pipelining: 1});
		dedicatedClients.add(client);
		return client;
	};

	const closeClient = (client: Client) => {
		dedicatedClients.delete(client);
		void client.destroy();
	};

	const send = (request: OutgoingRequest, receiver: ExchangeEvents): Exchange => {
		if (!URL.canParse(request.endpoint.address)) {
			return failAtOnce(receiver);
		}

		const {origin} = new URL(request.endpoint.address);
		const pool = request.dedicatedConnection ? undefined : pools.get(origin);
		const state: ExchangeState = {
			shared: pool !== undefined, sent: false, cancelled: false, ended: false, callerBodyFailed: false,
		};
		const holdReads = (): void => {
			if (state.socket !== undefined && !state.ended) {
				readBatches.hold(state.socket);
			}
		};

		const releaseReads = (): void => {
			if (state.socket !== undefined && !state.ended) {
				readBatches.release(state.socket);
			}
		};

		const {events, hold, release, drop} = createHeldEvents(receiver, {
			abort(error) {
				state.controller?.abort(error as Error);
			},
			onCostlyRead() {
				if (state.socket !== undefined) {
					readBatches.takeTurns(state.socket);
				}
			},
			holdReads,
			releaseReads,
		});
		const client = pool === undefined ? openClient(origin) : undefined;
		const finish = () => {
			if (state.socket !== undefined) {
				readBatches.stop(state.socket);
			}

			if (client !== undefined) {
				closeClient(client);
			}
		};

		const recordProgress = (): void => {
			if (state.socket !== undefined) {
				progressLimit.progressed(state.socket);
			}
		};

		const handler = createHandler(state, {
			...events,
			head(head) {
				recordProgress();
				events.head(head);
			},
			data(chunk) {
				recordProgress();
				events.data(chunk);
			},
			end(trailers) {
				recordProgress();
				events.end(trailers);
			},
		}, finish);
		(pool ?? client!).dispatch(dispatchOptions(request, state, events), handler);
		return {
			pause() {
				hold();
				holdReads();
			},
			resume() {
				if (release()) {
					releaseReads();
				}
			},
			batchReads(everyMs) {
				if (state.socket !== undefined && !state.ended) {
					readBatches.start(state.socket, everyMs);
				}
			},
			abort(reason, suspect) {
				state.cancelled = true;
				drop();
				state.controller?.abort(reason);
				finish();
				if (suspect && pool !== undefined && pools.peek(origin) === pool) {
					pools.delete(origin);
				}
			},
		};
	};

	return {
		send,
		allowConnectionReuse(endpoint: EndpointAddress) {
			if (!URL.canParse(endpoint.address)) {
				return;
			}

			const {origin} = new URL(endpoint.address);
			if (!pools.has(origin)) {
				pools.set(origin, new Pool(origin, {
					connect,
					pipelining: 1,
					connections: options.connectionsPerPool ?? defaultConnectionsPerPool,
					factory: (url, clientOptions) => new PoolClient(url, clientOptions),
				}));
			}
		},
		forgetConnections(endpoint: EndpointAddress) {
			if (URL.canParse(endpoint.address)) {
				pools.delete(new URL(endpoint.address).origin);
			}
		},
		async close() {
			pools.clear();
			await Promise.all(closing);
			for (const client of dedicatedClients) {
				closeClient(client);
			}
		},
	};
}
