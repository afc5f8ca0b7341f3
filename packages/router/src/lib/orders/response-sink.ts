/** Destination of a response: the caller's connection, independent of the HTTP server. */
import {type ByteCollector, createByteCollector} from '../buffers/byte-collector.js';
import {type ResponseHead} from './endpoint-transport.js';

/** Writes the response of one call to its caller. */
export type ResponseSink = {
	start: (head: ResponseHead) => void;
	/** Returns `false` when the caller reads too slowly; continue after `onDrain`. */
	write: (chunk: Uint8Array) => boolean;
	end: (trailers: readonly string[]) => void;
	/** Breaks the caller's connection so that it cannot take the response as complete. */
	abort: () => void;
	/** Whether the caller disconnected. */
	isDisconnected: () => boolean;
	/** Adds a listener that is called each time the caller has read what was written. */
	onDrain: (listener: () => void) => void;
	/** Adds a listener that is called once if the caller disconnects before the end of the response. */
	onDisconnect: (listener: () => void) => void;
};

/** A copy of the response that was passed to a caller. */
export type RecordedResponse = {
	head: ResponseHead;
	trailers: readonly string[];
	/** `undefined` when the body exceeds the recording limit. */
	body: ByteCollector | undefined;
};

/** Wraps a sink and records the response, with the body if it has at most `maxBytes`. */
export function createRecordingSink(sink: ResponseSink, maxBytes: number): ResponseSink & {recorded: () => RecordedResponse | undefined} {
	let head: ResponseHead | undefined;
	let trailers: readonly string[] | undefined;
	let body: ByteCollector | undefined = createByteCollector();
	return {
		...sink,
		start(started) {
			head = started;
			sink.start(started);
		},
		write(chunk) {
			if (body !== undefined && body.length() + chunk.byteLength > maxBytes) {
				body = undefined;
			}

			body?.add(chunk);
			return sink.write(chunk);
		},
		end(ended) {
			trailers = ended;
			sink.end(ended);
		},
		recorded: () => head === undefined || trailers === undefined ? undefined : {head, trailers, body},
	};
}
