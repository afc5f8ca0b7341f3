/** Looks up the outcome of a request whose response was lost at an endpoint. */
import {z} from 'zod';
import {createByteCollector} from '../buffers/byte-collector.js';
import {type Endpoint, type PlainService} from '../configuration/document.js';
import {type ResponseSink} from './response-sink.js';
import {type EndpointTransport} from './endpoint-transport.js';
import {runExchange} from './exchange.js';

/** The endpoint's response: whether the request ran, and with which status. */
const statusSchema = z.object({ran: z.boolean(), status: z.number().int().optional()});

/** A request that is known to have run. */
export type KnownRun = {status: number | null};

/**
 * Asks one endpoint. Resolves to `undefined` unless the endpoint reports that the
 * request ran. A report that it did not run proves nothing, since the request may
 * still be in transit.
 */
export type StatusLookUp = (service: PlainService, endpoint: Endpoint, requestId: string) => Promise<KnownRun | undefined>;

const maxResponseBytes = 16_384;
const statusOk = 200;

function createCollectingSink(): ResponseSink & {text: () => string} {
	let body = createByteCollector();
	let bytes = 0;
	return {
		start() {
			// The result of the exchange has the status.
		},
		write(chunk) {
			bytes += chunk.byteLength;
			if (bytes <= maxResponseBytes) {
				body.add(chunk);
			}

			return true;
		},
		end() {
			// The result of the exchange reports the end.
		},
		abort() {
			body = createByteCollector();
		},
		isDisconnected: () => false,
		onDrain() {
			// This sink never applies backpressure.
		},
		onDisconnect() {
			// A look-up has no caller that could disconnect.
		},
		text: () => body.whole().toString('utf8'),
	};
}

function parseStatus(text: string): KnownRun | undefined {
	try {
		const {ran, status} = statusSchema.parse(JSON.parse(text));
		return ran ? {status: status ?? null} : undefined;
	} catch {
		return undefined;
	}
}

/** Creates a look-up with a timeout of `waitMs` milliseconds. */
export function createStatusLookUp(transport: EndpointTransport, waitMs: number): StatusLookUp {
	return async (service, endpoint, requestId) => {
		if (service.statusPath === undefined) {
			return undefined;
		}

		const sink = createCollectingSink();
		const lookUpId = `${requestId}-status`;
		const result = await runExchange({
			transport,
			request: {
				endpoint,
				method: 'GET',
				path: service.statusPath.replaceAll('{id}', encodeURIComponent(requestId)),
				headers: ['accept', 'application/json', 'x-request-id', lookUpId],
				// The fault that lost the response may have broken idle connections too.
				dedicatedConnection: true,
			},
			requestId: lookUpId,
			kind: 'idempotent',
			sink,
			limits: {
				connectMs: waitMs, firstByteMs: waitMs, betweenBytesMs: waitMs, callerStallMs: waitMs,
			},
			deadline: performance.now() + waitMs,
			maySend: () => true,
		});
		return result.answered && result.status === statusOk ? parseStatus(sink.text()) : undefined;
	};
}
