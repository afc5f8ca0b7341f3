/** Asks an endpoint what became of a request whose answer was lost. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {type Endpoint, type PlainService} from '../configuration/document.js';
import {type AnswerSink} from './answer-sink.js';
import {type EndpointTransport} from './endpoint-transport.js';
import {runExchange} from './exchange.js';

/** What an endpoint answers: whether the request ran, and the status it gave. */
const statusSchema = z.object({ran: z.boolean(), status: z.number().int().optional()});

/** A request that is known to have run. */
export type KnownRun = {status: number | null};

/**
 * Asks one endpoint. `undefined` when it does not say that the request ran. An
 * endpoint's "did not run" proves nothing: the request may still be on its way.
 */
export type StatusLookUp = (service: PlainService, endpoint: Endpoint, requestId: string) => Promise<KnownRun | undefined>;

const mostBytes = 16_384;
const statusOk = 200;

function createCollectingSink(): AnswerSink & {text: () => string} {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	return {
		start() {
			// The status comes with the result.
		},
		write(chunk) {
			bytes += chunk.byteLength;
			if (bytes <= mostBytes) {
				chunks.push(chunk);
			}

			return true;
		},
		end() {
			// The end comes with the result.
		},
		cut() {
			chunks.length = 0;
		},
		isGone: () => false,
		onDrain() {
			// Never full.
		},
		onGone() {
			// Never gone.
		},
		text: () => Buffer.concat(chunks).toString('utf8'),
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

/** Creates a look-up that waits at most `waitMs` milliseconds. */
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
				// What lost the answer may have lost the idle connections too.
				ownConnection: true,
			},
			requestId: lookUpId,
			kind: 'idempotent',
			sink,
			limits: {
				connectMs: waitMs, firstByteMs: waitMs, betweenBytesMs: waitMs, callerStallMs: waitMs,
			},
			deadline: performance.now() + waitMs,
			mayLeave: () => true,
		});
		return result.answered && result.status === statusOk ? parseStatus(sink.text()) : undefined;
	};
}
