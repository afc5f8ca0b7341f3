/** Reads server-sent events from the pieces of an engine's answer. */
import {createParser} from 'eventsource-parser';

/** One event of a stream. */
export type StreamEvent = {
	/** Position that the engine gave it; -1 when it gave none. */
	position: number;
	data: string;
};

/** Marks the explicit end of a stream. */
export const endOfStream = '[DONE]';

/** Turns pieces into the events that they complete. */
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
