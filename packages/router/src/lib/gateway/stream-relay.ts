/**
 * Relays a stream of events to the caller: in order, each once, with an explicit
 * end. When an engine fails, the stream resumes on another engine from the next
 * position.
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
	/** Response headers, sent with the first event. */
	headers: Record<string, string>;
	/** Whether the caller requested the usage event. */
	wantsUsage: boolean;
	/** Called when the first event arrives. */
	onFirstEvent: () => void;
};

/** One stream to a caller. */
export type StreamRelay = {
	/**
	 * Relays the chunks of an engine; resolves after the explicit end.
	 *
	 * @throws {EndpointBrokenError} when a position or the end event is missing.
	 */
	pass: (chunks: AsyncIterable<Uint8Array>) => Promise<void>;
	/** The next position expected. */
	readonly position: number;
	/** Whether anything was sent to the caller. */
	readonly started: boolean;
	/** Events that were repeated after a resume and dropped. */
	readonly duplicates: number;
	readonly usage: TokenUsage | undefined;
	/** Ends the stream with an error event, since the status has already been sent. */
	fail: (body: unknown) => void;
};

const statusOk = 200;

/** Creates a relay; headers are sent with the first event. */
export function createStreamRelay(options: StreamRelayOptions): StreamRelay {
	const {raw, caller} = options;
	let position = 0;
	let started = false;
	let duplicates = 0;
	let usage: TokenUsage | undefined;

	const sendHeaders = () => {
		started = true;
		raw.writeHead(statusOk, {
			...options.headers, 'content-type': 'text/event-stream', 'cache-control': 'no-store',
		});
		options.onFirstEvent();
	};

	/** Formats an event for the caller; empty for duplicates and for a usage event that was not requested. */
	const formatEvent = (event: StreamEvent): string => {
		const at = event.position === -1 ? position : event.position;
		if (at < position) {
			duplicates++;
			return '';
		}

		if (at > position) {
			throw new EndpointBrokenError(`The stream skipped from position ${position} to ${at}.`);
		}

		position++;
		if (mayCarryUsage(event.data)) {
			const report = readUsage(event.data);
			usage = report ?? usage;
			if (report?.isUsageOnly && !options.wantsUsage) {
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

				text += formatEvent(event);
			}

			if (!started && (text !== '' || ended)) {
				sendHeaders();
			}

			if (ended) {
				raw.end(`${text}data: ${endOfStream}\n\n`);
				return;
			}

			if (text !== '') {
				await caller.write(text);
			}
		}

		// A clean close without the end event is still a truncated stream.
		throw new EndpointBrokenError(`The stream ended at position ${position} without its end event.`);
	}

	return {
		pass,
		fail(body) {
			raw.end(`data: ${JSON.stringify(body)}\n\n`);
		},
		get position() {
			return position;
		},
		get started() {
			return started;
		},
		get duplicates() {
			return duplicates;
		},
		get usage() {
			return usage;
		},
	};
}
