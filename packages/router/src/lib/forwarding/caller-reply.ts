/** Writes the response to one caller and tells whether the caller is still connected. */
import {type ServerResponse} from 'node:http';
import {createResponseWrites} from '../buffers/response-writes.js';

/** The response to one caller. */
export type CallerReply = {
	/** Whether the head has been sent. */
	isStarted: () => boolean;
	/** The response has neither a length nor chunks, which callers by other versions than HTTP/1.1 don't know. */
	isUnframed: () => boolean;
	/** All of the response has been written, though perhaps not sent. */
	isEnded: () => boolean;
	isDisconnected: () => boolean;
	status: () => number | undefined;
	/**
	 * Sends the head. A response that is kept unframed ends with its connection, as the endpoint's did: it
	 * may have been truncated undetectably, and a length set by the router would mark a partial
	 * response as complete.
	 */
	head: (status: number, headers: readonly string[], keepsUnframed?: boolean) => void;
	/** Sends a chunk of the body; returns false if the caller reads too slowly, until `onDrain` calls back. */
	write: (chunk: Uint8Array) => boolean;
	onDrain: (resume: () => void) => void;
	/** Memory of what was written and is still buffered in this process, in bytes. */
	unsentBytes: () => number;
	/** Called when the response was sent or its connection has ended. */
	onClose: (listener: () => void) => void;
	/** Ends a complete response. */
	end: (chunk?: Uint8Array) => void;
	/** Destroys the connection, so that a partial response doesn't look complete. An unframed one is complete unless its connection is reset. */
	abort: () => void;
	/** Resets the connection; what was written and not sent is lost. */
	reset: () => void;
	/** Called when the caller disconnects before the response has ended. */
	onDisconnect: (listener: () => void) => void;
};

/** Time in milliseconds for which an aborted response may take to be delivered. */
const flushTimeoutMs = 1000;

/** Wraps a Node.js response. */
export function createCallerReply(res: ServerResponse): CallerReply {
	const {write, onDrain, unsentBytes} = createResponseWrites(res);
	const listeners: Array<() => void> = [];
	let isDisconnected = res.destroyed;
	let status: number | undefined;
	let isUnframedReply = false;
	let isEnded = false;
	res.on('close', () => {
		if (res.writableFinished) {
			return;
		}

		isDisconnected = true;
		for (const listener of listeners) {
			listener();
		}
	});
	// A broken connection also emits `close`, which is handled above.
	res.on('error', () => undefined);

	return {
		isStarted: () => res.headersSent,
		isUnframed: () => isUnframedReply,
		isEnded: () => isEnded,
		// The end of the connection is read before `close` is emitted.
		isDisconnected: () => isDisconnected || res.socket?.readableEnded === true,
		status: () => status,
		head(code, headers, keepsUnframed = false) {
			status = code;
			if (keepsUnframed) {
				res.useChunkedEncodingByDefault = false;
				res.setHeader('connection', 'close');
			}

			for (let index = 0; index + 1 < headers.length; index += 2) {
				res.appendHeader(headers[index], headers[index + 1]);
			}

			isUnframedReply = !res.useChunkedEncodingByDefault && !res.hasHeader('content-length');
			res.writeHead(code);
		},
		write,
		onDrain,
		unsentBytes,
		onClose(listener) {
			res.once('close', listener);
		},
		end(chunk) {
			isEnded = true;
			if (chunk !== undefined) {
				res.write(chunk);
			}

			if (!res.writableNeedDrain) {
				res.end();
				return;
			}

			// A server that closes takes the connections of ended responses for idle ones and destroys them, although bytes are unsent.
			res.once('drain', () => {
				res.end();
			});
		},
		abort() {
			const {socket} = res;
			if (!isUnframedReply || socket === null) {
				res.destroy();
				return;
			}

			// Events that were passed on are delivered first, unless the caller doesn't read them.
			socket.setTimeout(flushTimeoutMs, () => {
				socket.resetAndDestroy();
			});
			socket.write('', () => {
				socket.resetAndDestroy();
			});
		},
		reset() {
			res.socket?.resetAndDestroy();
		},
		onDisconnect(listener) {
			if (isDisconnected) {
				listener();
			} else {
				listeners.push(listener);
			}
		},
	};
}
