/**
 * Responses that end with their connection must not look complete because the process exits: the
 * operating system closes the connections of a process that exits without a reset.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {type CallerReply} from './caller-reply.js';

/** Responses that have not been handed to the operating system in full. */
export type OpenReplies = {
	add: (reply: CallerReply) => void;
	/**
	 * Breaks off unframed responses that have begun. What was written before is delivered first, for at most
	 * `limitMs` milliseconds. Resolves to the number of responses.
	 */
	breakOff: (limitMs: number) => Promise<number>;
	/** Resets the connections of unframed responses at once; to be called right before the process exits. */
	reset: () => void;
};

/** Creates an empty set. */
export function createOpenReplies(): OpenReplies {
	const replies = new Set<CallerReply>();

	const unframed = (): CallerReply[] => [...replies].filter(reply => reply.isStarted() && reply.isUnframed());

	return {
		add(reply) {
			replies.add(reply);
			reply.onClose(() => {
				replies.delete(reply);
			});
		},
		async breakOff(limitMs) {
			const open = unframed();
			const begun = open.filter(reply => !reply.isEnded());
			const closed = open.map(async reply => new Promise<void>(resolve => {
				reply.onClose(resolve);
			}));
			for (const reply of begun) {
				reply.abort();
			}

			await Promise.race([Promise.all(closed), pause(limitMs)]);
			return begun.length;
		},
		reset() {
			for (const reply of unframed()) {
				reply.reset();
			}
		},
	};
}
