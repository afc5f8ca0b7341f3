/** The caller's connection during one request: deadline, disconnects and backpressure. */
import {type ServerResponse} from 'node:http';
import {createResponseWrites, type ResponseWrites} from '../buffers/response-writes.js';
import {GatewayError} from './gateway-errors.js';

/** The caller disconnected, or stopped reading the response. */
export class CallerGoneError extends Error {
	override readonly name = 'CallerGoneError';
}

/** Options of {@link watchCaller}. */
export type WatchOptions = {
	/** Milliseconds until the deadline. */
	deadlineMs: number;
	/** Milliseconds that a full write buffer may stay undrained before the caller is disconnected. */
	stallMs: number;
};

/** The connection of a caller that waits for its response. */
export type CallerConnection = {
	/** Aborts with `CallerGoneError` or `GatewayError` `deadline_exceeded`. */
	signal: AbortSignal;
	/** Milliseconds until the deadline. */
	remainingMs: () => number;
	/** Writes, and waits for the buffer to drain when it is full, so that memory stays bounded. */
	write: (text: string) => Promise<void>;
	/** Stops watching; must be called when the response has ended. */
	done: () => void;
};

/** Watches a response's connection for disconnects and the deadline. */
export function watchCaller(raw: ServerResponse, options: WatchOptions): CallerConnection {
	const abort = new AbortController();
	const endsAt = performance.now() + options.deadlineMs;
	const timer = setTimeout(() => {
		abort.abort(new GatewayError('deadline_exceeded', `No whole answer came within ${options.deadlineMs} ms.`));
	}, options.deadlineMs);
	const onClose = () => {
		if (!raw.writableFinished) {
			abort.abort(new CallerGoneError('The caller closed its connection.'));
		}
	};

	raw.on('close', onClose);
	const writes = createResponseWrites(raw);
	return {
		signal: abort.signal,
		remainingMs: () => Math.max(0, endsAt - performance.now()),
		async write(text) {
			abort.signal.throwIfAborted();
			if (!writes.write(text)) {
				await waitForDrain(raw, writes, options.stallMs, abort.signal);
			}
		},
		done() {
			clearTimeout(timer);
			raw.off('close', onClose);
		},
	};
}

/**
 * Waits until the write buffer is drained. A caller that stops reading would
 * occupy an engine slot for as long as its connection is open, so the connection
 * is destroyed after `stallMs`.
 */
async function waitForDrain(raw: ServerResponse, writes: ResponseWrites, stallMs: number, signal: AbortSignal): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		const cleanUp = () => {
			clearTimeout(timer);
			signal.removeEventListener('abort', onAbort);
		};

		const onDrain = () => {
			cleanUp();
			resolve();
		};

		const onAbort = () => {
			cleanUp();
			reject(signal.reason as Error);
		};

		const timer = setTimeout(() => {
			cleanUp();
			raw.destroy();
			reject(new CallerGoneError('The caller stopped reading.'));
		}, stallMs);
		writes.onDrain(onDrain);
		signal.addEventListener('abort', onAbort, {once: true});
	});
}
