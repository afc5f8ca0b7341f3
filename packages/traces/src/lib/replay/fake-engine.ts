/**
 * A simple fake of an engine for replays: a bounded batch, prompts computed one
 * after another, a prefix cache of limited size that evicts the least recently
 * used piece, and load as engines report it. After a crash its cache is empty.
 */
import {type EngineLoad} from 'hickorywalk/gateway.js';
import {type EventQueue} from './event-queue.js';
import {type PreparedRequest} from './trace-pieces.js';
import {type TraceEndpoint} from './trace-format.js';

/** Callbacks for the events of one request. */
export type EngineListener = {
	/** The first token is ready. */
	firstToken: (cachedTokens: number) => void;
	/** The last token is ready. */
	done: (load: EngineLoad) => void;
	/** The engine crashed. */
	crashed: () => void;
};

/** A fake engine. */
export type FakeEngine = {
	endpoint: TraceEndpoint;
	isUp: () => boolean;
	load: () => EngineLoad;
	/** Submits a request; the returned function cancels it. */
	submit: (prepared: PreparedRequest, listener: EngineListener) => () => void;
	/** Stops immediately and restarts with an empty cache after `downMs` milliseconds. */
	crash: (downMs: number) => void;
	/** Called with the pieces that were evicted from the cache. */
	onEvicted: (pieces: bigint[], incarnation: string) => void;
	/** Prompt tokens found in the cache and computed so far. */
	totals: {cachedTokens: number; computedTokens: number};
};

type Job = {
	prepared: PreparedRequest;
	listener: EngineListener;
	/** Prompt tokens still to compute; an estimate until the prompt is started. */
	missingTokens: number;
	/** Finished, cancelled or lost in a crash. */
	ended: boolean;
};

/** Share by which a full batch lengthens prefill and decoding. */
const fullBatchSlowdown = 0.5;

/** Creates an idle engine with an empty cache. */
export const createFakeEngine = (endpoint: TraceEndpoint, pieceTokens: number, queue: EventQueue): FakeEngine => {
	/** In order of last use, the least recently used piece first. */
	let cache = new Set<bigint>();
	let waiting: Job[] = [];
	let running = new Set<Job>();
	let prefill: Job[] = [];
	let computing = false;
	let incarnationNumber = 1;
	let up = true;
	let version = '';

	const slowdown = (): number => 1 + (fullBatchSlowdown * running.size / endpoint.batch);

	const cachedTokensOf = (pieces: readonly bigint[]): number => {
		let count = 0;
		while (count < pieces.length && cache.has(pieces[count])) {
			count++;
		}

		return count * pieceTokens;
	};

	/** Stores deep pieces first, so that the shallow ones, which more requests share, are evicted last. */
	const store = (pieces: readonly bigint[]): void => {
		for (const piece of pieces.toReversed()) {
			cache.delete(piece);
			cache.add(piece);
		}

		const gone: bigint[] = [];
		for (const piece of cache) {
			if (cache.size <= endpoint.cachePieces) {
				break;
			}

			cache.delete(piece);
			gone.push(piece);
		}

		if (gone.length > 0) {
			engine.onEvicted(gone, engine.load().incarnation);
		}
	};

	const finish = (job: Job): void => {
		job.ended = true;
		running.delete(job);
		admit();
	};

	const decode = (job: Job): void => {
		const durationMs = job.prepared.request.outputTokens * endpoint.decodeMsPerToken * slowdown();
		queue.at(queue.now() + durationMs, () => {
			if (!job.ended) {
				finish(job);
				job.listener.done(engine.load());
			}
		});
	};

	const compute = (): void => {
		const job = prefill.shift();
		if (job === undefined) {
			computing = false;
			return;
		}

		if (job.ended) {
			compute();
			return;
		}

		computing = true;
		const cachedTokens = cachedTokensOf(job.prepared.pieces);
		job.missingTokens = job.prepared.promptTokens - cachedTokens;
		const startedIncarnation = incarnationNumber;
		queue.at(queue.now() + (job.missingTokens * 1000 / endpoint.prefillTokensPerSecond * slowdown()), () => {
			if (startedIncarnation !== incarnationNumber) {
				return;
			}

			engine.totals.cachedTokens += cachedTokens;
			engine.totals.computedTokens += job.missingTokens;
			job.missingTokens = 0;
			store(job.prepared.pieces);
			if (!job.ended) {
				job.listener.firstToken(cachedTokens);
				decode(job);
			}

			compute();
		});
	};

	const admit = (): void => {
		while (running.size < endpoint.batch && waiting.length > 0) {
			const job = waiting.shift()!;
			running.add(job);
			prefill.push(job);
		}

		if (!computing) {
			compute();
		}
	};

	const pendingTokens = (): number => {
		let tokens = 0;
		for (const job of [...waiting, ...running]) {
			tokens += job.missingTokens;
		}

		return tokens;
	};

	const engine: FakeEngine = {
		endpoint,
		isUp: () => up,
		load: () => ({
			incarnation: `${endpoint.name}/${incarnationNumber}`, version, running: running.size, waiting: waiting.length, pendingPromptTokens: pendingTokens(),
		}),
		submit(prepared, listener) {
			version = prepared.request.version;
			const job: Job = {
				prepared, listener, missingTokens: prepared.promptTokens - cachedTokensOf(prepared.pieces), ended: false,
			};
			waiting.push(job);
			admit();
			return () => {
				if (!job.ended) {
					waiting = waiting.filter(other => other !== job);
					finish(job);
				}
			};
		},
		crash(downMs) {
			const lost = [...waiting, ...running];
			waiting = [];
			running = new Set();
			prefill = [];
			cache = new Set();
			computing = false;
			up = false;
			incarnationNumber++;
			queue.at(queue.now() + downMs, () => {
				up = true;
			});
			for (const job of lost) {
				job.ended = true;
				job.listener.crashed();
			}
		},
		onEvicted() {
			// Replaced by the replay that uses the engine.
		},
		totals: {cachedTokens: 0, computedTokens: 0},
	};
	return engine;
};
