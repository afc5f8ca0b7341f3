/** Messages that wait for the next tick of a link, bounded in number and size. */
import {type PeerBody, type PeerCase} from './peer-link.js';

/** Options of {@link createMessageQueue}. */
export type MessageQueueOptions = {
	/** Most messages that wait; the oldest is dropped for a new one. */
	mostMessages: number;
	/** Most bytes of bulk content in one batch; at least one message always goes. */
	mostBatchBytes: number;
	/** Milliseconds after which a message that still waits is dropped, bulk content excepted. */
	staleMs: number;
};

/** A queue of messages toward one peer. */
export type MessageQueue = {
	push: (body: PeerBody) => void;
	/** Drops what has waited too long. */
	dropStale: () => void;
	/** Takes what fits into one batch, oldest first. */
	takeBatch: () => PeerBody[];
	size: () => number;
	/** Messages dropped because the queue was full or they grew stale. */
	dropped: () => number;
};

/** Bytes of the kinds that can be large; the others are small. */
const bulkSizes: Partial<Record<PeerCase, (body: PeerBody) => number>> = {
	configurationSections: body => body.case === 'configurationSections' ? body.value.changed.reduce((sum, section) => sum + section.json.length, 0) : 0,
	snapshotPart: body => body.case === 'snapshotPart' ? body.value.content.length : 0,
};

type Waiting = {body: PeerBody; since: number};

/** Creates an empty queue. */
export function createMessageQueue(options: MessageQueueOptions): MessageQueue {
	let messages: Waiting[] = [];
	let dropped = 0;

	/**
	 * Messages carry ages that were right when they were queued. One that waits
	 * for a peer to come back would pass for fresh news, such as of a version
	 * that was the newest an hour ago.
	 */
	function dropStale(): void {
		const before = messages.length;
		const oldest = performance.now() - options.staleMs;
		messages = messages.filter(({body, since}) => since >= oldest || bulkSizes[body.case] !== undefined);
		dropped += before - messages.length;
	}

	return {
		push(body) {
			// A peer that does not read must not fill this daemon's memory; old news is worth least.
			if (messages.length >= options.mostMessages) {
				messages.shift();
				dropped++;
			}

			messages.push({body, since: performance.now()});
		},
		dropStale,
		takeBatch() {
			dropStale();
			let bytes = 0;
			let count = 0;
			for (const {body} of messages) {
				bytes += bulkSizes[body.case]?.(body) ?? 0;
				if (count > 0 && bytes > options.mostBatchBytes) {
					break;
				}

				count++;
			}

			const batch = messages.slice(0, count).map(({body}) => body);
			messages = messages.slice(count);
			return batch;
		},
		size: () => messages.length,
		dropped: () => dropped,
	};
}
