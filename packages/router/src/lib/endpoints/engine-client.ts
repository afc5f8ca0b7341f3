/**
 * Calls engines over HTTP: one request per connection at a time, timeouts
 * between received chunks, and a check that a response belongs to its request.
 */
import {type Readable} from 'node:stream';
import {errors, Pool} from 'undici';
import {type EngineLoad} from '../serving/ports.js';
import {
	EndpointBrokenError, EndpointCrossedError, EndpointRefusedError, EndpointSilentError, EndpointUnreachableError,
} from './endpoint-errors.js';

/** Options of {@link createEngineClient}. */
export type EngineClientOptions = {
	/** Milliseconds to open a connection. */
	connectMs: number;
	/** Milliseconds to the first byte of the response. */
	firstByteMs: number;
	/** Milliseconds between two chunks of the response. */
	silenceMs: number;
};

/** One request to an engine. */
export type EngineCall = {
	/** Base URL of the endpoint. */
	address: string;
	path: string;
	requestId: string;
	/** Requests with the same identity may share entries of the engine's prefix cache. */
	cacheIdentity: string;
	/** Version of the weights that must serve the request. */
	version: string;
	/** Incarnation of the engine process that the placement assumed; empty if none is known. */
	incarnation: string;
	/** Lower values are served first. */
	priority: number;
	/** Milliseconds left until the caller's deadline. */
	deadlineMs: number;
	/** Position of the first event to send; above 0 for a resume. */
	resumeFrom: number;
	body: string;
	/** Aborts the call; the engine then cancels, since its connection closes. */
	signal: AbortSignal;
};

/** An engine's response, which was checked to belong to the request. */
export type EngineResponse = {
	status: number;
	contentType: string;
	load: EngineLoad | undefined;
	/** Yields the body; throws an endpoint error if the connection breaks or stalls. */
	chunks: AsyncIterable<Uint8Array>;
};

/** Calls engines by address. */
export type EngineClient = {
	call: (call: EngineCall) => Promise<EngineResponse>;
	close: () => Promise<void>;
};

/** Unread bytes of a response from which on its connection isn't read; each may come in a chunk, and so take an object, of its own. */
const maxUnreadBytes = 4096;

const statusOk = 200;
const statusVersionMismatch = 409;
const statusTooManyRequests = 429;
const statusServerError = 500;

/**
 * Creates a client without open connections.
 *
 * @example
 * const client = createEngineClient({connectMs: 500, firstByteMs: 15_000, silenceMs: 5_000});
 */
export function createEngineClient(options: EngineClientOptions): EngineClient {
	const pools = new Map<string, Pool>();
	const retired = new Set<Pool>();

	const poolOf = (address: string) => {
		let pool = pools.get(address);
		if (pool === undefined) {
			pool = new Pool(address, {
				pipelining: 1,
				connect: {timeout: options.connectMs},
				headersTimeout: 0,
				bodyTimeout: 0,
			});
			pools.set(address, pool);
		}

		return pool;
	};

	/**
	 * Stops using the pool of an address. A network device on the path can lose
	 * track of connections: they stay open without traffic while new ones work.
	 * Idle connections of the same pool were opened through the same device, so
	 * none is used again. Requests in progress on them end by their own timeouts.
	 */
	const retire = (address: string) => {
		const pool = pools.get(address);
		if (pool === undefined) {
			return;
		}

		pools.delete(address);
		retired.add(pool);
		void (async () => {
			try {
				await pool.close();
			} finally {
				retired.delete(pool);
			}
		})();
	};

	async function call(engineCall: EngineCall): Promise<EngineResponse> {
		const abort = new AbortController();
		const cancel = () => {
			abort.abort(engineCall.signal.reason);
		};

		engineCall.signal.throwIfAborted();
		engineCall.signal.addEventListener('abort', cancel, {once: true});
		const release = () => {
			engineCall.signal.removeEventListener('abort', cancel);
		};

		const onSilence = () => {
			retire(engineCall.address);
			abort.abort(new EndpointSilentError(`${engineCall.address} sent nothing within the time limit; its connections are not used again.`));
		};

		const timer = setTimeout(onSilence, options.firstByteMs);
		try {
			const res = await poolOf(engineCall.address).request({
				method: 'POST',
				path: engineCall.path,
				headers: headersOf(engineCall),
				body: engineCall.body,
				signal: abort.signal,
				highWaterMark: maxUnreadBytes,
			});
			clearTimeout(timer);
			const head = {status: res.statusCode, headers: res.headers};
			try {
				checkResponse(engineCall, head);
			} catch (error) {
				// The connection must not return to the pool: further data on it may belong to another request.
				abort.abort(error);
				res.body.on('error', () => undefined);
				throw error;
			}

			return {
				status: res.statusCode,
				contentType: textOf(res.headers['content-type']),
				load: loadOf(res.headers),
				chunks: readBody(res.body, {
					silenceMs: options.silenceMs, onSilence, release, abort,
				}),
			};
		} catch (error) {
			clearTimeout(timer);
			release();
			throw toEndpointError(error, engineCall, abort.signal);
		}
	}

	return {
		call,
		async close() {
			const all = [...pools.values(), ...retired];
			pools.clear();
			await Promise.all(all.map(async pool => pool.destroy()));
		},
	};
}

type BodyReadOptions = {silenceMs: number; onSilence: () => void; release: () => void; abort: AbortController};

/** Yields the chunks of a response and limits the time between them. */
async function * readBody(body: Readable, {silenceMs, onSilence, release, abort}: BodyReadOptions): AsyncGenerator<Uint8Array> {
	let reading = true;
	const timer = setTimeout(() => {
		if (reading) {
			onSilence();
		}
	}, silenceMs);
	let isComplete = false;
	try {
		for await (const chunk of body) {
			// While a slow caller does not read, no chunk is taken and the time limit does not apply.
			reading = false;
			yield chunk as Uint8Array;
			reading = true;
			timer.refresh();
		}

		isComplete = true;
	} catch (error) {
		throw toBodyError(error, abort.signal);
	} finally {
		clearTimeout(timer);
		release();
		if (!isComplete) {
			// The rest of an abandoned response must not reach the next request.
			abort.abort(new EndpointBrokenError('The response was abandoned.'));
		}
	}
}

function headersOf(call: EngineCall): Record<string, string> {
	return {
		'content-type': 'application/json',
		'x-request-id': call.requestId,
		'x-cache-identity': call.cacheIdentity,
		'x-expect-version': call.version,
		'x-expect-incarnation': call.incarnation,
		'x-priority': String(call.priority),
		'x-deadline-ms': String(Math.max(0, Math.floor(call.deadlineMs))),
		...(call.resumeFrom > 0 && {'x-resume-from': String(call.resumeFrom)}),
	};
}

type HeaderValue = string | string[] | undefined;
type ResponseHead = {status: number; headers: Record<string, HeaderValue>};

/** Rejects a response that belongs to another request or to other weights. */
function checkResponse(call: EngineCall, {status, headers}: ResponseHead): void {
	const id = textOf(headers['x-request-id']);
	if (id !== '' && id !== call.requestId) {
		throw new EndpointCrossedError(`${call.address} answered request ${id} where ${call.requestId} was asked.`);
	}

	if (status === statusVersionMismatch || status === statusTooManyRequests || status >= statusServerError) {
		throw new EndpointRefusedError(`${call.address} answered ${status}.`, status, loadOf(headers));
	}

	const version = textOf(headers['x-engine-version']);
	if (status === statusOk && version !== '' && version !== call.version) {
		throw new EndpointCrossedError(`${call.address} served version ${version} where ${call.version} was asked.`);
	}
}

function textOf(value: HeaderValue): string {
	return typeof value === 'string' ? value : '';
}

/** Reads the load that the engine reported in the headers of its response. */
function loadOf(headers: Record<string, HeaderValue>): EngineLoad | undefined {
	const incarnation = textOf(headers['x-engine-incarnation']);
	const [running, waiting, pendingPromptTokens] = textOf(headers['x-engine-load']).split(',').map(Number);
	if (incarnation === '' || ![running, waiting, pendingPromptTokens].every(value => Number.isFinite(value))) {
		return undefined;
	}

	return {
		incarnation, version: textOf(headers['x-engine-version']), running, waiting, pendingPromptTokens,
	};
}

/** Codes of system errors that mean that no connection was established. */
const unreachableCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

function toEndpointError(error: unknown, call: EngineCall, signal: AbortSignal): unknown {
	if (call.signal.aborted) {
		return call.signal.reason;
	}

	if (signal.aborted) {
		return signal.reason;
	}

	const code = error instanceof Error && 'code' in error ? String(error.code) : '';
	if (error instanceof errors.ConnectTimeoutError || unreachableCodes.has(code)) {
		return new EndpointUnreachableError(`${call.address} can't be reached.`, {cause: error});
	}

	if (error instanceof EndpointRefusedError || error instanceof EndpointCrossedError) {
		return error;
	}

	return new EndpointBrokenError(`The connection to ${call.address} broke.`, {cause: error});
}

function toBodyError(error: unknown, signal: AbortSignal): unknown {
	if (signal.aborted) {
		return signal.reason;
	}

	return new EndpointBrokenError('The connection broke within the response.', {cause: error});
}
