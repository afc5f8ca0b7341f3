/** Sends requests to endpoints over HTTP/1.1. */
import {Buffer} from 'node:buffer';
import diagnosticsChannel from 'node:diagnostics_channel';
import {type Readable} from 'node:stream';
import {LRUCache} from 'lru-cache';
import {Client, Pool, type Dispatcher} from 'undici';
import {
	type EndpointAddress, type EndpointTransport, type Exchange, type ExchangeEvents, type OutgoingRequest,
} from './endpoint-transport.js';
import {isBodiless} from './answer-checks.js';
import {type FailureClass} from './failure-classes.js';
import {EndpointExchangeError} from './orders-errors.js';

/** Options of {@link createUndiciTransport}. */
export type UndiciTransportOptions = {
	/** Milliseconds for a connection to come about; 1,000 by default. */
	connectMs?: number;
	/** Endpoints to which idle connections are kept; 256 by default. */
	mostPools?: number;
	/** Connections to one endpoint that are reused; 32 by default. */
	connectionsPerPool?: number;
};

const defaultConnectMs = 1000;
const defaultMostPools = 256;
const defaultConnectionsPerPool = 32;
const firstFinalStatus = 200;

function textsOf(raw: unknown): string[] {
	const texts: string[] = [];
	for (const item of Array.isArray(raw) ? raw : []) {
		texts.push(Buffer.isBuffer(item) ? item.toString('latin1') : String(item));
	}

	return texts;
}

/** Chunks of the caller's body, with word of each one, and of a body that breaks off. */
async function * watchedBody(chunks: AsyncIterable<Uint8Array>, state: ExchangeState, progress: () => void): AsyncGenerator<Uint8Array> {
	try {
		for await (const chunk of chunks) {
			progress();
			yield chunk;
		}
	} catch (error) {
		state.callerBroke = true;
		throw error;
	}
}

function outgoingBody({body}: OutgoingRequest, state: ExchangeState, events: ExchangeEvents): Dispatcher.DispatchOptions['body'] {
	if (body?.kind !== 'stream') {
		return body === undefined ? null : Buffer.from(body.content);
	}

	const chunks: unknown = watchedBody(body.open(), state, events.progress);
	// Undici sends any async iterable; its types tell only of streams.

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
		// The limits on silence are the caller's own timers.
		headersTimeout: 0,
		bodyTimeout: 0,
		reset: !state.shared,
		body: outgoingBody(request, state, events),
	};
}

/** The exchange whose request is being written: undici tells its connection in the same tick. */
let starting: ExchangeState | undefined;

diagnosticsChannel.subscribe('undici:client:sendHeaders', message => {
	if (starting !== undefined) {
		starting.socket = (message as {socket: ExchangeState['socket']}).socket;
		starting = undefined;
	}
});

function controllerHasLength({rawHeaders}: Dispatcher.DispatchController): boolean {
	return textsOf(rawHeaders).some((text, index) => index % 2 === 0 && text.toLowerCase() === 'content-length');
}

/** @internal */
export type ExchangeState = {
	/** The connection carries other requests before or after. */
	shared: boolean;
	/** The request was handed to a connected socket. */
	left: boolean;
	cancelled: boolean;
	ended: boolean;
	/** The caller's own body broke off. */
	callerBroke: boolean;
	/** Status of the answer, once its head came. */
	status?: number;
	/** The answer states its length, so that its end is known for sure. */
	hasLength?: boolean;
	/** The connection that carries it. */
	socket?: {readonly errored?: Error | null};
	controller?: Dispatcher.DispatchController;
};

/**
 * Turns what undici tells of a request into the events of an exchange.
 *
 * @internal
 */
export function createHandler(state: ExchangeState, events: ExchangeEvents, finish: () => void): Dispatcher.DispatchHandler {
	return {
		onRequestStart(controller) {
			// Undici writes a request a second time when its connection closes in some
			// ways while it runs. The endpoint would then run an order twice; refusing
			// the second start leaves one write at most.
			if (state.left) {
				controller.abort(new EndpointExchangeError('The connection closed while the request ran. It is not sent again.'));
				return;
			}

			if (state.cancelled || !events.leaving(state.shared)) {
				state.cancelled = true;
				controller.abort(new EndpointExchangeError('The request was withdrawn before its first byte.'));
				return;
			}

			state.left = true;
			state.controller = controller;
			starting = state;
		},
		onResponseStart(controller, status) {
			if (status >= firstFinalStatus) {
				state.status = status;
				state.hasLength = controllerHasLength(controller);
				events.head({status, headers: textsOf(controller.rawHeaders)});
			}
		},
		onResponseData(_controller, chunk) {
			events.data(chunk);
		},
		onResponseEnd(controller) {
			state.ended = true;
			// An answer without length ends with its connection. Undici takes a reset
			// for such an end, and the caller would get half an answer as a whole one.
			if (state.hasLength !== true && state.socket?.errored) {
				events.failed('truncated', state.socket.errored);
				finish();
				return;
			}

			events.end(textsOf(controller.rawTrailers));
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

/** Undici looks for the stated length even where the status says that no body follows. */
function isWholeWithoutBody(state: ExchangeState, error: Error): boolean {
	return state.status !== undefined && isBodiless(state.status) && hasCode(error, 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH');
}

function failureOf(state: ExchangeState, error: Error): FailureClass {
	// A caller that breaks off its own body must not make the endpoint look bad.
	if (state.left) {
		return state.callerBroke ? 'cancelled' : 'reset';
	}

	if (state.cancelled) {
		return 'withdrawn';
	}

	return hasCode(error, 'UND_ERR_INVALID_ARG') ? 'unsendable' : 'connect_failed';
}

/**
 * Creates a transport on undici.
 *
 * A connection is reused only toward endpoints whose answers carry the request
 * id (see `trustIds`): on any other, the late answer to an abandoned request
 * could be taken for the answer to the next one.
 *
 * @example
 * const transport = createUndiciTransport({connectMs: 500});
 */
export function createUndiciTransport(options: UndiciTransportOptions = {}): EndpointTransport {
	const connect = {timeout: options.connectMs ?? defaultConnectMs};
	const closing = new Set<Promise<void>>();
	const trackClosing = async (work: Promise<void>) => {
		closing.add(work);
		await work;
		closing.delete(work);
	};

	const pools = new LRUCache<string, Pool>({
		max: options.mostPools ?? defaultMostPools,
		dispose(pool) {
			void trackClosing(pool.close());
		},
	});
	const own = new Set<Client>();

	const openClient = (origin: string) => {
		const client = new Client(origin, {connect, pipelining: 1});
		own.add(client);
		return client;
	};

	const closeClient = (client: Client) => {
		own.delete(client);
		void client.destroy();
	};

	const send = (request: OutgoingRequest, events: ExchangeEvents): Exchange => {
		const {origin} = new URL(request.endpoint.address);
		const pool = request.ownConnection ? undefined : pools.get(origin);
		const state: ExchangeState = {
			shared: pool !== undefined, left: false, cancelled: false, ended: false, callerBroke: false,
		};
		const client = pool === undefined ? openClient(origin) : undefined;
		const finish = () => {
			if (client !== undefined) {
				closeClient(client);
			}
		};

		const handler = createHandler(state, events, finish);
		(pool ?? client!).dispatch(dispatchOptions(request, state, events), handler);
		return {
			pause() {
				state.controller?.pause();
			},
			resume() {
				state.controller?.resume();
			},
			abort(reason, suspect) {
				state.cancelled = true;
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
		trustIds(endpoint: EndpointAddress) {
			const {origin} = new URL(endpoint.address);
			if (!pools.has(origin)) {
				pools.set(origin, new Pool(origin, {
					connect, pipelining: 1, connections: options.connectionsPerPool ?? defaultConnectionsPerPool,
				}));
			}
		},
		async close() {
			pools.clear();
			await Promise.all(closing);
			for (const client of own) {
				closeClient(client);
			}
		},
	};
}
