/** Parses server-sent events from the chunks of an engine's response. */
import {createParser} from 'eventsource-parser';

/** One event of a stream. */
export type StreamEvent = {
	/** Position in the stream, from the event id; -1 when the event has none. */
	position: number;
	data: string;
};

/** Data of the event that ends a stream. */
export const endOfStream = '[DONE]';

/** Returns the events that each chunk completes. */
export type EventReader = {
	read: (chunk: Uint8Array) => StreamEvent[];
};

/** Creates a reader for one stream. */
export function createEventReader(): EventReader {
	const decoder = new TextDecoder();
	let events: StreamEvent[] = [];
	const parser = createParser({
		onEvent({id, data}) {
			const position = Number.parseInt(id ?? '', 10);
			events.push({position: Number.isNaN(position) ? -1 : position, data});
		},
	});
	return {
		read(chunk) {
			events = [];
			parser.feed(decoder.decode(chunk, {stream: true}));
			return events;
		},
	};
}
