/** Where an answer goes: the caller's connection, seen by the decision code. */
import {type AnswerHead} from './endpoint-transport.js';

/** The caller's side of one call. */
export type AnswerSink = {
	start: (head: AnswerHead) => void;
	/** `false` when the caller reads slower than this; `onDrain` tells when to go on. */
	write: (chunk: Uint8Array) => boolean;
	end: (trailers: readonly string[]) => void;
	/** Ends the caller's connection so that it cannot take the answer for whole. */
	cut: () => void;
	/** Whether the caller went away. */
	isGone: () => boolean;
	/** Called each time that the caller has read what was written. */
	onDrain: (listener: () => void) => void;
	/** Called once, when the caller goes away before the answer's end. */
	onGone: (listener: () => void) => void;
};

/** What was passed on to a caller. */
export type KeptAnswer = {
	head: AnswerHead;
	trailers: readonly string[];
	/** `undefined` when the body is longer than what is kept. */
	body: Uint8Array[] | undefined;
};

/** Passes an answer on to a sink and keeps a copy of up to `mostBytes` of body. */
export function createKeepingSink(sink: AnswerSink, mostBytes: number): AnswerSink & {kept: () => KeptAnswer | undefined} {
	let head: AnswerHead | undefined;
	let trailers: readonly string[] | undefined;
	let body: Uint8Array[] | undefined = [];
	let bytes = 0;
	return {
		...sink,
		start(started) {
			head = started;
			sink.start(started);
		},
		write(chunk) {
			bytes += chunk.byteLength;
			if (bytes > mostBytes) {
				body = undefined;
			}

			body?.push(chunk);
			return sink.write(chunk);
		},
		end(ended) {
			trailers = ended;
			sink.end(ended);
		},
		kept: () => head === undefined || trailers === undefined ? undefined : {head, trailers, body},
	};
}
