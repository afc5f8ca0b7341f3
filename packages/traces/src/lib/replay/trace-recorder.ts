/**
 * Records a trace from a serving daemon. The trace contains no text and no key:
 * a prompt is written as its chain of piece hashes, each hashed again with a
 * secret of the recording, so that a reader can't confirm a guessed prompt.
 */
import {createHmac} from 'node:crypto';
import {type PlacementRequest} from 'hickorywalk/gateway.js';
import {type TraceRequest} from './trace-format.js';

/** Options of a recorder. */
export type TraceRecorderOptions = {
	/** Tokens in one piece. */
	pieceTokens: number;
	/** Fresh random bytes, discarded after the recording. */
	secret: Uint8Array;
	/** Receives each line of the trace. */
	write: (request: TraceRequest) => void;
};

/** Writes requests as lines of a trace. */
export type TraceRecorder = {
	/** Records a request that ended with `outputTokens` generated tokens; `startedAt` is in milliseconds of the monotonic clock. */
	record: (request: PlacementRequest, startedAt: number, outputTokens: number) => void;
};

const nameLength = 12;

/** Starts a recording; the times in the trace count from this call. */
export const createTraceRecorder = ({pieceTokens, secret, write}: TraceRecorderOptions): TraceRecorder => {
	const beganAt = performance.now();
	let count = 0;

	const nameOf = (value: string): string => createHmac('sha256', secret).update(value).digest('hex').slice(0, nameLength);

	const partsOf = (request: PlacementRequest): TraceRequest['parts'] => {
		const parts: TraceRequest['parts'] = request.pieces.map(piece => [nameOf(piece.toString(16)), pieceTokens]);
		const rest = request.promptTokens - (request.pieces.length * pieceTokens);
		if (rest > 0) {
			parts.push([`rest-${count}`, rest]);
		}

		return parts;
	};

	return {
		record(request, startedAt, outputTokens) {
			count++;
			write({
				kind: 'request',
				atMs: Math.max(0, Math.round((startedAt - beganAt) * 10) / 10),
				workspace: request.workspace,
				service: request.service,
				version: request.version,
				adapter: request.adapter,
				parts: partsOf(request),
				outputTokens: Math.max(1, outputTokens),
			});
		},
	};
};
