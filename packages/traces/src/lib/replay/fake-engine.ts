/**
 * A small fake of an engine for replays: a bounded batch, prompts computed one
 * after the other, a prefix cache of limited size that drops the least recently
 * used piece, and load as engines report it. It comes back empty from a crash.
 */
import {type EngineLoad} from 'hickorywalk/gateway.js';
import {type EventQueue} from './event-queue.js';
import {type PreparedRequest} from './trace-pieces.js';
import {type TraceEndpoint} from './trace-format.js';

/** What the engine tells of one request. */
export type EngineListener = {
	/** The first token is ready. */
	firstToken: (cachedTokens: number) => void;
	/** The last token is ready. */
	done: (load: EngineLoad) => void;
	/** The engine crashed. */
	crashed: () => void;
};

/** The fake. */
export type FakeEngine = {
	endpoint: TraceEndpoint;
	isUp: () => boolean;
	load: () => EngineLoad;
	/** Takes a request; the returned function cancels it. */
	submit: (prepared: PreparedRequest, listener: EngineListener) => () => void;
	/** Stops at once and comes back empty after so many milliseconds. */
	crash: (downMs: number) => void;
	/** Called with the pieces that left the cache. */
	onEvicted: (pieces: bigint[], incarnation: string) => void;
	/** Prompt tokens found in the cache and computed so far. */
	totals: {cachedTokens: number; computedTokens: number};
};

type Job = {
	prepared: PreparedRequest;
	listener: EngineListener;
	/** Prompt tokens to compute, as far as known. */
	missingTokens: number;
	/** Ended, cancelled or lost in a crash. */
	over: boolean;
};

/** How much a full batch slows both phases down. */
const fullBatchSlowdown = 0.5;

/** Opens an idle engine with an empty cache. */
export const createFakeEngine = (endpoint: TraceEndpoint, pieceTokens: number, queue: EventQueue): FakeEngine => {
	/** Insertion order is the order of use. */
	let cache = new Set<bigint>();
	let waiting: Job[] = [];
	let running = new Set<Job>();
	let prefill: Job[] = [];
	let computing = false;
	let process = 1;
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

	/** Deep pieces first, so that the shallow ones, shared by more, stay longest. */
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
		job.over = true;
		running.delete(job);
		admit();
	};

	const decode = (job: Job): void => {
		const durationMs = job.prepared.request.outputTokens * endpoint.decodeMsPerToken * slowdown();
		queue.at(queue.now() + durationMs, () => {
			if (!job.over) {
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

		if (job.over) {
			compute();
			return;
		}

		computing = true;
		const cachedTokens = cachedTokensOf(job.prepared.pieces);
		job.missingTokens = job.prepared.promptTokens - cachedTokens;
		const ofProcess = process;
		queue.at(queue.now() + (job.missingTokens * 1000 / endpoint.prefillTokensPerSecond * slowdown()), () => {
			if (ofProcess !== process) {
				return;
			}

			engine.totals.cachedTokens += cachedTokens;
			engine.totals.computedTokens += job.missingTokens;
			job.missingTokens = 0;
			store(job.prepared.pieces);
			if (!job.over) {
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
			incarnation: `${endpoint.name}/${process}`, version, running: running.size, waiting: waiting.length, pendingPromptTokens: pendingTokens(),
		}),
		submit(prepared, listener) {
			version = prepared.request.version;
			const job: Job = {
				prepared, listener, missingTokens: prepared.promptTokens - cachedTokensOf(prepared.pieces), over: false,
			};
			waiting.push(job);
			admit();
			return () => {
				if (!job.over) {
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
			process++;
			queue.at(queue.now() + downMs, () => {
				up = true;
			});
			for (const job of lost) {
				job.over = true;
				job.listener.crashed();
			}
		},
		onEvicted() {
			// Nobody listens yet.
		},
		totals: {cachedTokens: 0, computedTokens: 0},
	};
	return engine;
};
