/** Queue of messages for the next tick of a link, bounded in number and batch size. */
import {type PeerBody, type PeerCase} from './peer-link.js';

/** Options of {@link createMessageQueue}. */
export type MessageQueueOptions = {
	/** Maximum number of queued messages; when it is full, the oldest is dropped. */
	maxMessages: number;
	/** Maximum bytes of bulk content in one batch; a batch always takes at least one message. */
	maxBatchBytes: number;
	/** Milliseconds after which a queued message is dropped, except bulk content. */
	staleMs: number;
};

/** A queue of messages to one peer. */
export type MessageQueue = {
	push: (body: PeerBody) => void;
	/** Drops messages older than `staleMs`. */
	dropStale: () => void;
	/** Removes and returns the messages that fit into one batch, oldest first. */
	takeBatch: () => PeerBody[];
	size: () => number;
	/** Number of messages dropped because the queue was full or they were stale. */
	dropped: () => number;
};

/** Approximate bytes of the message kinds that can be large; all others are small. */
const bulkSizes: Partial<Record<PeerCase, (body: PeerBody) => number>> = {
	configurationSections: body => body.case === 'configurationSections' ? body.value.changed.reduce((sum, section) => sum + section.json.length, 0) : 0,
	snapshotPart: body => body.case === 'snapshotPart' ? body.value.content.length : 0,
};

type QueuedMessage = {body: PeerBody; queuedAt: number};

/** Creates an empty queue. */
export function createMessageQueue(options: MessageQueueOptions): MessageQueue {
	let messages: QueuedMessage[] = [];
	let dropped = 0;

	/**
	 * Messages contain ages that were correct when they were queued. One that was
	 * queued until a peer came back would look current, such as a configuration
	 * version that was the newest an hour ago.
	 */
	function dropStale(): void {
		const before = messages.length;
		const oldest = performance.now() - options.staleMs;
		messages = messages.filter(({body, queuedAt}) => queuedAt >= oldest || bulkSizes[body.case] !== undefined);
		dropped += before - messages.length;
	}

	return {
		push(body) {
			// A peer that does not read must not fill this daemon's memory; the oldest message is the least useful.
			if (messages.length >= options.maxMessages) {
				messages.shift();
				dropped++;
			}

			messages.push({body, queuedAt: performance.now()});
		},
		dropStale,
		takeBatch() {
			dropStale();
			let bytes = 0;
			let count = 0;
			for (const {body} of messages) {
				bytes += bulkSizes[body.case]?.(body) ?? 0;
				if (count > 0 && bytes > options.maxBatchBytes) {
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
