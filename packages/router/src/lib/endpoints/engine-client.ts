/**
 * Speaks to engines: one request per connection at a time, silence limits by
 * what arrives, and checks that an answer is the request's own.
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
	/** Milliseconds to the first byte of the answer. */
	firstByteMs: number;
	/** Milliseconds between two pieces of the answer. */
	silenceMs: number;
};

/** One request to an engine. */
export type EngineCall = {
	/** Base URL of the endpoint. */
	address: string;
	path: string;
	requestId: string;
	/** What the engine's prefix cache may share this request with. */
	cacheIdentity: string;
	/** Weights version that must answer. */
	version: string;
	/** Process that the placement assumed; empty when none is known. */
	incarnation: string;
	/** Lower goes first. */
	priority: number;
	/** Milliseconds that are left of the caller's deadline. */
	deadlineMs: number;
	/** Position of the first event wanted; above 0 after a resume. */
	resumeFrom: number;
	body: string;
	/** Ends the call; the engine sees its connection close and cancels. */
	signal: AbortSignal;
};

/** An engine's answer, checked to be the request's own. */
export type EngineAnswer = {
	status: number;
	contentType: string;
	load: EngineLoad | undefined;
	/** Yields the body; throws an endpoint error when it breaks or goes silent. */
	chunks: AsyncIterable<Uint8Array>;
};

/** Calls engines by address. */
export type EngineClient = {
	call: (call: EngineCall) => Promise<EngineAnswer>;
	close: () => Promise<void>;
};

const statusOk = 200;
const statusVersionMismatch = 409;
const statusTooMany = 429;
const statusServerError = 500;

/**
 * Creates a client with no connection open.
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
	 * A device between the two ends can lose track of connections: they stay
	 * open and silent while new ones work. The idle ones of the same pool were
	 * opened through the same device, so none of them is used again. Requests
	 * under way on them keep their own silence limits and end by those.
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

	async function call(engineCall: EngineCall): Promise<EngineAnswer> {
		const abort = new AbortController();
		const cancel = () => {
			abort.abort(engineCall.signal.reason);
		};

		engineCall.signal.throwIfAborted();
		engineCall.signal.addEventListener('abort', cancel, {once: true});
		const release = () => {
			engineCall.signal.removeEventListener('abort', cancel);
		};

		const goSilent = () => {
			retire(engineCall.address);
			abort.abort(new EndpointSilentError(`${engineCall.address} went silent; its connections are not used again.`));
		};

		const timer = setTimeout(goSilent, options.firstByteMs);
		try {
			const res = await poolOf(engineCall.address).request({
				method: 'POST',
				path: engineCall.path,
				headers: headersOf(engineCall),
				body: engineCall.body,
				signal: abort.signal,
			});
			clearTimeout(timer);
			const answer = {status: res.statusCode, headers: res.headers};
			try {
				checkAnswer(engineCall, answer);
			} catch (error) {
				// Never left in the pool: what else comes on it may be another's.
				abort.abort(error);
				res.body.on('error', () => undefined);
				throw error;
			}

			return {
				status: res.statusCode,
				contentType: textOf(res.headers['content-type']),
				load: loadOf(res.headers),
				chunks: guard(res.body, {
					silenceMs: options.silenceMs, goSilent, release, abort,
				}),
			};
		} catch (error) {
			clearTimeout(timer);
			release();
			throw translate(error, engineCall, abort.signal);
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

type Guard = {silenceMs: number; goSilent: () => void; release: () => void; abort: AbortController};

/** Watches the gaps between the pieces of an answer. */
async function * guard(body: Readable, {silenceMs, goSilent, release, abort}: Guard): AsyncGenerator<Uint8Array> {
	let reading = true;
	const timer = setTimeout(() => {
		if (reading) {
			goSilent();
		}
	}, silenceMs);
	let whole = false;
	try {
		for await (const chunk of body) {
			// While the caller is slow nobody reads, so no silence is counted.
			reading = false;
			yield chunk as Uint8Array;
			reading = true;
			timer.refresh();
		}

		whole = true;
	} catch (error) {
		throw translateBody(error, abort.signal);
	} finally {
		clearTimeout(timer);
		release();
		if (!whole) {
			// What was abandoned half-way must not reach the next request.
			abort.abort(new EndpointBrokenError('The answer was abandoned.'));
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
type AnswerHead = {status: number; headers: Record<string, HeaderValue>};

/** Refuses what is not this request's answer or not the weights asked for. */
function checkAnswer(call: EngineCall, {status, headers}: AnswerHead): void {
	const id = textOf(headers['x-request-id']);
	if (id !== '' && id !== call.requestId) {
		throw new EndpointCrossedError(`${call.address} answered request ${id} where ${call.requestId} was asked.`);
	}

	if (status === statusVersionMismatch || status === statusTooMany || status >= statusServerError) {
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

/** Reads what the engine said of itself along with its answer. */
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

/** Codes of system errors that say that no connection came about. */
const unreachableCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

function translate(error: unknown, call: EngineCall, signal: AbortSignal): unknown {
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

function translateBody(error: unknown, signal: AbortSignal): unknown {
	if (signal.aborted) {
		return signal.reason;
	}

	return new EndpointBrokenError('The answer broke off before its end.', {cause: error});
}
