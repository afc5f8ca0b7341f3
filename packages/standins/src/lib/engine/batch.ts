/**
 * Continuous batching of an engine stand-in: prompts are computed one after
 * another by priority, then up to `slots` requests decode side by side.
 */
import {setTimeout as delay} from 'node:timers/promises';

/** Options of {@link createBatch}. */
export type BatchOptions = {
	slots: number;
	prefillTokensPerMs: number;
	decodeMs: number;
};

type Waiter = {priority: number; order: number; start: () => void};

/** The work that an engine does at one time. */
export type Batch = {
	/** Waits for a slot; lower numbers go first. Call the result to leave. */
	enter: (priority: number, signal: AbortSignal) => Promise<() => void>;
	/** Computes so many prompt tokens; others wait meanwhile. */
	prefill: (tokens: number, signal: AbortSignal) => Promise<void>;
	/** Waits for the next token. */
	decode: (signal: AbortSignal) => Promise<void>;
	running: () => number;
	waiting: () => number;
	pendingPromptTokens: () => number;
};

/** Creates an idle batch. */
export function createBatch(options: BatchOptions): Batch {
	const waiters: Waiter[] = [];
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
			let left = false;
			return () => {
				if (!left) {
					left = true;
					running--;
					startNext();
				}
			};
		},
		async prefill(tokens, signal) {
			pendingTokens += tokens;
			const before = prefillEnd;
			const work = (async () => {
				await before;
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
