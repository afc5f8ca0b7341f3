/**
 * Continuous batching of an engine stand-in: up to `slots` requests run at once,
 * admitted by priority. Prefill runs one prompt after another, decoding in parallel.
 */
import {setTimeout as delay} from 'node:timers/promises';

/** Options of {@link createBatch}. */
export type BatchOptions = {
	slots: number;
	prefillTokensPerMs: number;
	decodeMs: number;
};

type QueuedRequest = {priority: number; order: number; start: () => void};

/** The requests that an engine processes concurrently. */
export type Batch = {
	/** Waits for a slot; lower priorities go first. Resolves to a function that releases the slot. */
	enter: (priority: number, signal: AbortSignal) => Promise<() => void>;
	/** Computes `tokens` prompt tokens; other prefills wait meanwhile. */
	prefill: (tokens: number, signal: AbortSignal) => Promise<void>;
	/** Waits for the time that one output token takes. */
	decode: (signal: AbortSignal) => Promise<void>;
	running: () => number;
	waiting: () => number;
	pendingPromptTokens: () => number;
};

/** Creates an idle batch. */
export function createBatch(options: BatchOptions): Batch {
	const waiters: QueuedRequest[] = [];
	let order = 0;
	let running = 0;
	let pendingTokens = 0;
	let prefillEnd: Promise<void> = Promise.resolve();

	const startNext = () => {
		if (running >= options.slots || waiters.length === 0) {
			return;
		}

		waiters.sort((a, b) => a.priority - b.priority || a.order - b.order);
		running++;
		waiters.shift()?.start();
	};

	return {
		async enter(priority, signal) {
			await new Promise<void>((resolve, reject) => {
				order++;
				const waiter = {priority, order, start: resolve};
				signal.addEventListener('abort', () => {
					const at = waiters.indexOf(waiter);
					if (at !== -1) {
						waiters.splice(at, 1);
						reject(signal.reason as Error);
					}
				});
				waiters.push(waiter);
				startNext();
			});
			let hasLeft = false;
			return () => {
				if (!hasLeft) {
					hasLeft = true;
					running--;
					startNext();
				}
			};
		},
		async prefill(tokens, signal) {
			pendingTokens += tokens;
			const previous = prefillEnd;
			const work = (async () => {
				await previous;
				if (!signal.aborted) {
					await delay(tokens / options.prefillTokensPerMs);
				}

				pendingTokens -= tokens;
			})();
			prefillEnd = work;
			await work;
			signal.throwIfAborted();
		},
		async decode(signal) {
			if (options.decodeMs > 0) {
				await delay(options.decodeMs * (1 + (running / options.slots)), undefined, {signal});
			}
		},
		running: () => running,
		waiting: () => waiters.length,
		pendingPromptTokens: () => pendingTokens,
	};
}
