/**
 * Measures how a flood from one workspace affects the others: the same small
 * workspaces alone, and beside a large one that sends several times its rate,
 * through the real fair queue and through a queue in order of arrival, on a
 * fake clock. The engines are fakes that compute prompts in chunks, highest
 * priority first.
 */
import FakeTimers from '@sinonjs/fake-timers';
import {build, type Histogram} from 'hdr-histogram-js';
import {createFairQueue, type FairQueue} from 'hickorywalk/fairness.js';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const engines = 4;
const slotsPerEngine = 8;
const prefillTokensPerMs = 40;
const chunkTokens = 512;
const decodeMs = 8;
const seconds = 60;
const floodFactor = 5;

type Load = {workspace: string; perSecond: number; promptTokens: number; outputTokens: number};

const smallLoads: Load[] = Array.from({length: 4}, (_, index) => ({
	workspace: `small-${index}`, perSecond: 2, promptTokens: 4000, outputTokens: 64,
}));
/** At its own rate the large workspace uses half of the engines' prefill capacity. */
const largeLoad: Load = {
	workspace: 'large', perSecond: 8, promptTokens: 10_000, outputTokens: 64,
};

type Job = {priority: number; order: number; left: number; done: () => void};

/** Creates an engine with a fixed number of slots, chunked prefill ordered by priority, and a constant decoding speed. */
function createFakeEngine() {
	const jobs: Job[] = [];
	const waiting: Array<{priority: number; order: number; start: () => void}> = [];
	let running = 0;
	let order = 0;
	let busy = false;
	const work = () => {
		if (busy || jobs.length === 0) {
			return;
		}

		busy = true;
		jobs.sort((a, b) => a.priority - b.priority || a.order - b.order);
		const [job] = jobs;
		const chunk = Math.min(chunkTokens, job.left);
		setTimeout(() => {
			busy = false;
			job.left -= chunk;
			if (job.left === 0) {
				jobs.splice(jobs.indexOf(job), 1);
				job.done();
			}

			work();
		}, chunk / prefillTokensPerMs);
	};

	const startNext = () => {
		waiting.sort((a, b) => a.priority - b.priority || a.order - b.order);
		while (running < slotsPerEngine && waiting.length > 0) {
			running++;
			waiting.shift()?.start();
		}
	};

	return {
		load: () => running + waiting.length,
		/** Calls `onFirst` at the first token; resolves after the last one. */
		async run(load: Load, priority: number, onFirst: () => void): Promise<void> {
			order++;
			const own = order;
			await new Promise<void>(resolve => {
				waiting.push({priority, order: own, start: resolve});
				startNext();
			});
			await new Promise<void>(resolve => {
				jobs.push({
					priority, order: own, left: load.promptTokens, done: resolve,
				});
				work();
			});
			onFirst();
			await new Promise(resolve => {
				setTimeout(resolve, load.outputTokens * decodeMs);
			});
			running--;
			startNext();
		},
	};
}

type Result = {small: Histogram; refusedSmall: number; answeredLarge: number};

async function runLoads(loads: readonly Load[], fair: boolean): Promise<Result> {
	const clock = FakeTimers.install();
	const random = xoroshiro128plus(7);
	const fleet = Array.from({length: engines}, createFakeEngine);
	const queue = createFairQueue({
		limit: () => engines * slotsPerEngine, mostWaitingPerWorkspace: 4096, mostWaiting: 16_384,
	});
	const result: Result = {small: build(), refusedSmall: 0, answeredLarge: 0};
	try {
		for (const load of loads) {
			let at = 0;
			while (at < seconds * 1000) {
				at -= Math.log(1 - uniformFloat64(random)) * (1000 / load.perSecond);
				setTimeout(() => {
					void serve({
						queue, fleet, fair, result,
					}, load);
				}, at);
			}
		}

		await clock.tickAsync((seconds + 60) * 1000);
		return result;
	} finally {
		clock.uninstall();
	}
}

type RunContext = {queue: FairQueue; fleet: Array<ReturnType<typeof createFakeEngine>>; fair: boolean; result: Result};

async function serve({queue, fleet, fair, result}: RunContext, load: Load): Promise<void> {
	const arrivedAt = performance.now();
	const cost = load.promptTokens + load.outputTokens;
	const turn = await queue.enter({
		workspace: fair ? load.workspace : 'all', weight: 1, cost, longestWaitMs: 30_000, signal: new AbortController().signal,
	});
	const isSmall = load.workspace !== largeLoad.workspace;
	if (!turn.granted) {
		result.refusedSmall += isSmall ? 1 : 0;
		return;
	}

	let leastLoaded = fleet[0];
	for (const engine of fleet) {
		leastLoaded = engine.load() < leastLoaded.load() ? engine : leastLoaded;
	}

	await leastLoaded.run(load, turn.ticket.priority, () => {
		if (isSmall) {
			result.small.recordValue(Math.round(performance.now() - arrivedAt));
		}
	});
	turn.ticket.release(cost);
	result.answeredLarge += isSmall ? 0 : 1;
}

const flood = [...smallLoads, {...largeLoad, perSecond: largeLoad.perSecond * floodFactor}];

/** Loads of each case, and whether the queue is fair between workspaces or in order of arrival. */
const cases = {
	alone: {loads: smallLoads, fair: true},
	'beside the large one at its rate': {loads: [...smallLoads, largeLoad], fair: true},
	'beside a flood': {loads: flood, fair: true},
	'beside a flood, in order of arrival': {loads: flood, fair: false},
} as const;

/** Runs the cases and prints a JSON line for each. */
export async function runFairnessBench(): Promise<void> {
	let alone: number | undefined;
	for (const [name, {loads, fair}] of Object.entries(cases)) {
		const {small, refusedSmall, answeredLarge} = await runLoads(loads, fair);
		const p99 = small.getValueAtPercentile(99);
		alone ??= p99;
		console.log(JSON.stringify({
			bench: 'fairness',
			case: name,
			small_ttft_p50_ms: small.getValueAtPercentile(50),
			small_ttft_p99_ms: p99,
			p99_to_alone: Number((p99 / alone).toFixed(2)),
			small_refused: refusedSmall,
			large_answered: answeredLarge,
		}));
	}
}
