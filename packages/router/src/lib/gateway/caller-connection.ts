/** The caller's side of one request: its deadline, its going away, its pace. */
import {type ServerResponse} from 'node:http';
import {GatewayError} from './gateway-errors.js';

/** Why work for a caller ends when the caller has gone. */
export class CallerGoneError extends Error {
	override readonly name = 'CallerGoneError';
}

/** Options of {@link watchCaller}. */
export type WatchOptions = {
	/** Milliseconds until the deadline. */
	deadlineMs: number;
	/** Milliseconds that a caller may leave a full buffer unread. */
	stallMs: number;
};

/** A caller that waits for its answer. */
export type CallerConnection = {
	/** Aborts with `CallerGoneError` or `GatewayError` `deadline_exceeded`. */
	signal: AbortSignal;
	/** Milliseconds that are left. */
	remainingMs: () => number;
	/** Writes and waits while the caller is slow, so that memory stays bounded. */
	write: (text: string) => Promise<void>;
	/** Stops watching; called once the answer is over. */
	done: () => void;
};

/** Watches the connection that a response goes to. */
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
	return {
		signal: abort.signal,
		remainingMs: () => Math.max(0, endsAt - performance.now()),
		async write(text) {
			abort.signal.throwIfAborted();
			if (!raw.write(text)) {
				await drained(raw, options.stallMs, abort.signal);
			}
		},
		done() {
			clearTimeout(timer);
			raw.off('close', onClose);
		},
	};
}

/**
 * A caller that stops reading would hold an engine's slot for as long as its
 * connection stands. Past the limit the connection is destroyed.
 */
async function drained(raw: ServerResponse, stallMs: number, signal: AbortSignal): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		const settle = () => {
			clearTimeout(timer);
			raw.off('drain', onDrain);
			signal.removeEventListener('abort', onAbort);
		};

		const onDrain = () => {
			settle();
			resolve();
		};

		const onAbort = () => {
			settle();
			reject(signal.reason as Error);
		};

		const timer = setTimeout(() => {
			settle();
			raw.destroy();
			reject(new CallerGoneError('The caller stopped reading.'));
		}, stallMs);
		raw.once('drain', onDrain);
		signal.addEventListener('abort', onAbort, {once: true});
	});
}
