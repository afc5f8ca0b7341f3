/** The answer to one caller: its head, its body, and whether the caller is still there. */
import {type ServerResponse} from 'node:http';

/** The answer on its way. */
export type CallerReply = {
	/** Whether the head has left. */
	isStarted: () => boolean;
	isGone: () => boolean;
	status: () => number | undefined;
	/**
	 * Sends the head. An unframed answer ends with its connection, as the
	 * endpoint's did: it may have been cut short without a sign, and a length of
	 * the router's own would vouch for half an answer.
	 */
	head: (status: number, headers: readonly string[], isUnframed?: boolean) => void;
	/** Sends a part of the body; false when the caller reads too slowly, `onDrain` tells when it may go on. */
	write: (chunk: Uint8Array) => boolean;
	onDrain: (resume: () => void) => void;
	/** Ends the answer as complete. */
	end: (chunk?: Uint8Array) => void;
	/** Breaks the connection, so that an answer that is not whole does not look complete. */
	cut: () => void;
	/** Called when the caller leaves before the end. */
	onGone: (listener: () => void) => void;
};

/** Wraps the runtime's response. */
export function createCallerReply(res: ServerResponse): CallerReply {
	const listeners: Array<() => void> = [];
	let isGone = res.destroyed;
	let status: number | undefined;
	res.on('close', () => {
		if (res.writableFinished) {
			return;
		}

		isGone = true;
		for (const listener of listeners) {
			listener();
		}
	});
	// A broken connection also says `close`, which is what counts.
	res.on('error', () => undefined);

	return {
		isStarted: () => res.headersSent,
		isGone: () => isGone,
		status: () => status,
		head(code, headers, isUnframed = false) {
			status = code;
			if (isUnframed) {
				res.useChunkedEncodingByDefault = false;
				res.setHeader('connection', 'close');
			}

			for (let index = 0; index + 1 < headers.length; index += 2) {
				res.appendHeader(headers[index], headers[index + 1]);
			}

			res.writeHead(code);
		},
		write: chunk => res.write(chunk),
		onDrain(resume) {
			res.once('drain', resume);
		},
		end(chunk) {
			res.end(chunk);
		},
		cut() {
			res.destroy();
		},
		onGone(listener) {
			if (isGone) {
				listener();
			} else {
				listeners.push(listener);
			}
		},
	};
}
