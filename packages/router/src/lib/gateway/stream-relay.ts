/**
 * Passes a stream of events to the caller: in order, each once, with an
 * explicit end. It outlives the engine it began on: a resume goes on from the
 * next position that is wanted.
 */
import {type ServerResponse} from 'node:http';
import {EndpointBrokenError} from '../endpoints/endpoint-errors.js';
import {type CallerConnection} from './caller-connection.js';
import {createEventReader, endOfStream, type StreamEvent} from './event-reader.js';
import {mayCarryUsage, readUsage, type TokenUsage} from './usage.js';

/** Options of {@link createStreamRelay}. */
export type StreamRelayOptions = {
	raw: ServerResponse;
	caller: CallerConnection;
	/** Headers of the answer, sent with the first event. */
	headers: Record<string, string>;
	/** Whether the caller asked for the usage event. */
	wantsUsage: boolean;
	/** Hears of the first event. */
	onFirstEvent: () => void;
};

/** One stream toward a caller. */
export type StreamRelay = {
	/** Passes on what an engine sends; resolves after the explicit end. */
	pass: (chunks: AsyncIterable<Uint8Array>) => Promise<void>;
	/** The next position wanted. */
	readonly position: number;
	/** Whether the caller has got anything. */
	readonly begun: boolean;
	/** Events that came again after a resume and were dropped. */
	readonly doubled: number;
	readonly usage: TokenUsage | undefined;
	/** Tells an error inside the stream, since its status has gone out. */
	fail: (body: unknown) => void;
};

const statusOk = 200;

/** Creates a relay before the first event. */
export function createStreamRelay(options: StreamRelayOptions): StreamRelay {
	const {raw, caller} = options;
	let position = 0;
	let begun = false;
	let doubled = 0;
	let usage: TokenUsage | undefined;

	const begin = () => {
		begun = true;
		raw.writeHead(statusOk, {
			...options.headers, 'content-type': 'text/event-stream', 'cache-control': 'no-store',
		});
		options.onFirstEvent();
	};

	/** The text for the caller; empty when the event is not for it. */
	const take = (event: StreamEvent): string => {
		const at = event.position === -1 ? position : event.position;
		if (at < position) {
			doubled++;
			return '';
		}

		if (at > position) {
			throw new EndpointBrokenError(`The stream jumped from position ${position} to ${at}.`);
		}

		position++;
		if (mayCarryUsage(event.data)) {
			const report = readUsage(event.data);
			usage = report ?? usage;
			if (report?.alone && !options.wantsUsage) {
				return '';
			}
		}

		return `id: ${at}\ndata: ${event.data}\n\n`;
	};

	async function pass(chunks: AsyncIterable<Uint8Array>): Promise<void> {
		const reader = createEventReader();
		for await (const chunk of chunks) {
			let text = '';
			let ended = false;
			for (const event of reader.read(chunk)) {
				if (event.data === endOfStream) {
					ended = true;
					break;
				}

				text += take(event);
			}

			if (!begun && (text !== '' || ended)) {
				begin();
			}

			if (ended) {
				raw.end(`${text}data: ${endOfStream}\n\n`);
				return;
			}

			if (text !== '') {
				await caller.write(text);
			}
		}

		// A clean close without the end mark is a cut stream all the same.
		throw new EndpointBrokenError(`The stream ended at position ${position} without its end mark.`);
	}

	return {
		pass,
		fail(body) {
			raw.end(`data: ${JSON.stringify(body)}\n\n`);
		},
		get position() {
			return position;
		},
		get begun() {
			return begun;
		},
		get doubled() {
			return doubled;
		},
		get usage() {
			return usage;
		},
	};
}
