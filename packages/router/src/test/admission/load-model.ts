/**
 * Replays arrivals against daemons and a small model of engines: processor sharing of prompt reading, slots,
 * memory and a queue by priority. Time is simulated.
 */
import {setImmediate as flush} from 'node:timers/promises';
import type FakeTimers from '@sinonjs/fake-timers';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createAdmission} from '../../admission.js';
import {
	createEndpointPresence, createFleetView, type FleetDocument, type Route,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {
	type Choice, createEndpointBackoff, createEndpointChoice, createEndpointLoadTracker, createResidentParts, createStoredParts, type PromptNeed,
} from '../../placing.js';
import {createUnprovenVersions} from '../../releases.js';
import {createHealthTracker} from '../../routing.js';
import {createEngineVersions, createWeightsDeadlines} from '../../weights.js';
import {reportOf} from '../peers/empty-report.js';
import {createLoneBrittle, createLoneLimits} from '../placing/lone-limits.js';
import {createWorkingPaths} from '../placing/working-paths.js';

/** A kind of request; times in milliseconds. */
export type Kind = {
	name: string;
	rank: number;
	targetMs: number;
	deadlineMs: number;
	sharedTokens: number;
	ownTokens: number;
	outputTokens: number;
	/** Number of different shared parts. */
	subjects: number;
	/** Requests per second of the fleet at its capacity. */
	perSecond: number;
};

/** One request of a caller, with all its attempts. */
export type Outcome = {
	kind: string;
	workspace: string;
	arrivedAt: number;
	/** Prompt tokens that are not shared. */
	ownTokens: number;
	/** The response ended before the deadline. */
	isInTime: boolean;
	/** Milliseconds from the first attempt to the first event; `undefined` if there was none. */
	firstMs: number | undefined;
	/** Milliseconds from the first attempt until the caller knew the outcome. */
	endedMs: number;
	/** Attempts that were refused. */
	refusals: number;
	/** It was sent to an engine and not served in time. */
	isWasted: boolean;
};

/** Part of a replay: the offered load as a multiple of the capacity. */
export type Phase = {ms: number; load: number; /** Multiple of the usual rate of the first workspace. */ flood?: number};

/** Options of {@link replayLoad}. */
export type LoadModelOptions = {
	clock: FakeTimers.Clock;
	kinds: readonly Kind[];
	phases: readonly Phase[];
	engines: number;
	daemons: number;
	workspaces: number;
	seed: number;
	/** Prompt tokens that an engine reads per millisecond. */
	tokensPerMs: number;
	slots: number;
	memoryTokens: number;
	/** Factor by which engines are slower than the daemons' estimates at first. */
	slowness?: number;
	/** All engines have all shared parts in their memory. */
	isWarm?: boolean;
	/** Sends all requests at once, as without admission. */
	sendsAll?: boolean;
};

type Job = {
	priority: number;
	unreadTokens: number;
	outputMsLeft: number;
	memoryTokens: number;
	onFirst: () => void;
	onEnd: () => void;
};

const stepMs = 5;
const msPerOutputToken = 5;
const reportEveryMs = 400;
const firstEventMs = 10;

/** One engine. */
function createEngine({tokensPerMs, slots, memoryTokens}: {tokensPerMs: number; slots: number; memoryTokens: number}) {
	const queue: Job[] = [];
	const running = new Set<Job>();
	const cached = new Set<string>();

	const startNext = (): void => {
		for (;;) {
			let used = 0;
			for (const job of running) {
				used += job.memoryTokens;
			}

			const next = queue.at(0);
			if (next === undefined || running.size >= slots || (running.size > 0 && used + next.memoryTokens > memoryTokens)) {
				return;
			}

			queue.shift();
			running.add(next);
		}
	};

	return {
		cached,
		load: () => ({running: running.size, waiting: queue.length, slots}),
		submit(job: Job): void {
			const index = queue.findIndex(({priority}) => priority > job.priority);
			queue.splice(index === -1 ? queue.length : index, 0, job);
			startNext();
		},
		cancel(job: Job): void {
			running.delete(job);
			const index = queue.indexOf(job);
			if (index !== -1) {
				queue.splice(index, 1);
			}

			startNext();
		},
		step(): void {
			const reading = [...running].filter(({unreadTokens}) => unreadTokens > 0);
			for (const job of running) {
				if (job.unreadTokens > 0) {
					job.unreadTokens -= tokensPerMs * stepMs / reading.length;
					if (job.unreadTokens <= 0) {
						job.onFirst();
					}
				} else {
					job.outputMsLeft -= stepMs;
					if (job.outputMsLeft <= 0) {
						running.delete(job);
						job.onEnd();
					}
				}
			}

			startNext();
		},
	};
}

const documentFor = ({kinds, slots, memoryTokens}: LoadModelOptions): FleetDocument => ({
	version: 1,
	routes: kinds.map(({name, rank, targetMs, deadlineMs}): Route => ({
		name, host: 'h', prefix: `/${name}/`, kind: 'stream', targets: [{service: 'engines', weight: 1}], timeoutMs: deadlineMs, targetMs,
		targetPauseMs: 250, maxEndpoints: 1, rank, isPublic: true, isResumable: false, hasPromptParts: true,
	})),
	services: new Map([['engines', {
		name: 'engines', maxConnections: 750, engine: {
			slots, memoryTokens, tokenBytes: 0, linkBytesPerMs: 1, models: ['m'],
		},
	}]]),
	cacheStores: [],
	workspaces: [],
	limits: {
		bodyBytes: 1, headerBytes: 1, headerMs: 1, idleMs: 1,
	},
});

/** Creates a daemon that knows the engines. */
export function createDaemon(name: string, options: LoadModelOptions, random: () => number) {
	const log = createSilentLog();
	const view = createFleetView(log);
	view.acceptDocument(documentFor(options));
	for (let index = 0; index < options.engines; index++) {
		view.acceptEndpoint({
			id: `e${index}`, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: options.slots, isLeaving: false, startedAt: 1,
			reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
		});
	}

	const loadTracker = createEndpointLoadTracker({refreshMs: () => reportEveryMs});
	const shared = {
		view, loadTracker, health: createHealthTracker(), presence: createEndpointPresence(log), versions: createEngineVersions(),
		weightsDeadlines: createWeightsDeadlines({view, weightsMs: 8000}), limits: createLoneLimits(), backoff: createEndpointBackoff({random, log}),
		brittle: createLoneBrittle(), paths: createWorkingPaths(), releases: createUnprovenVersions({view, log}),
	};
	const choice = createEndpointChoice({
		...shared, storedParts: createStoredParts(), residentParts: createResidentParts({memoryTokens: view.memoryTokens}),
		dataCentre: 'a', connectionShare: () => 0.9 / options.daemons, daemons: () => 1, random,
	});
	return {
		name, view, loadTracker, versions: shared.versions, choice, admission: createAdmission({
			...shared, choose: choice.choose, random, log,
		}),
	};
}

type Daemon = ReturnType<typeof createDaemon>;

/** A request that is sent to an engine. */
type Sent = {kind: Kind; need: PromptNeed; deadlineAt: number};

/** Replays the phases; resolves with the outcome of each request, in the order of their ends. */
export async function replayLoad(options: LoadModelOptions): Promise<Outcome[]> {
	const {clock, kinds, slowness = 1} = options;
	const generator = xoroshiro128plus(options.seed);
	const random = (): number => uniformFloat64(generator);
	const engines = new Map(Array.from({length: options.engines}, (_item, index) => [`e${index}`, createEngine({...options, tokensPerMs: options.tokensPerMs / slowness})]));
	const daemons = Array.from({length: options.daemons}, (_item, index) => createDaemon(`d${index}`, options, random));
	const outcomes: Outcome[] = [];
	const open = new Set<Outcome>();
	let nextPart = 0;

	const isCached = (engine: {cached: Set<string>}, need: PromptNeed): boolean => options.isWarm === true || engine.cached.has(need.parts[0].id);

	/** Sends a request; resolves with whether it ended before its deadline. */
	const send = async (daemon: Daemon, {kind, need, deadlineAt}: Sent, chosen: Choice, onFirst: () => void): Promise<boolean> => {
		const engine = engines.get(chosen.endpoint.id)!;
		const memoryTokens = need.promptTokens + need.outputTokens;
		const work = daemon.loadTracker.start(chosen.endpoint.id, {missingTokens: chosen.missingTokens, memoryTokens, outputTokens: need.outputTokens});
		daemon.choice.placed(chosen, need);
		const sentAt = performance.now();
		return new Promise(resolve => {
			const end = (isWhole: boolean): void => {
				clearTimeout(timer);
				work.ended(isWhole);
				daemon.loadTracker.recordReportedLoad(chosen.endpoint.id, engine.load());
				resolve(isWhole);
			};

			const job: Job = {
				priority: kind.rank,
				unreadTokens: kind.ownTokens + (isCached(engine, need) ? 0 : kind.sharedTokens) + (firstEventMs * options.tokensPerMs),
				outputMsLeft: kind.outputTokens * msPerOutputToken,
				memoryTokens,
				onFirst() {
					engine.cached.add(need.parts[0].id);
					work.begun();
					daemon.loadTracker.updateEstimates(chosen.endpoint.id, performance.now() - sentAt, chosen.missingTokens, chosen.pendingTokens);
					onFirst();
				},
				onEnd() {
					end(true);
				},
			};
			const timer = setTimeout(() => {
				engine.cancel(job);
				end(false);
			}, Math.max(0, deadlineAt - sentAt));
			engine.submit(job);
		});
	};

	const call = async (kind: Kind, workspace: string): Promise<void> => {
		const arrivedAt = performance.now();
		const deadlineAt = arrivedAt + kind.deadlineMs;
		nextPart++;
		const need: PromptNeed = {
			model: 'm', parts: [{id: `${kind.name}-${Math.floor(random() * kind.subjects)}`, tokens: kind.sharedTokens}, {id: `own-${nextPart}`, tokens: kind.ownTokens}],
			promptTokens: kind.sharedTokens + kind.ownTokens, outputTokens: kind.outputTokens, isolationKey: '',
		};
		const outcome: Outcome = {
			kind: kind.name, workspace, arrivedAt, ownTokens: kind.ownTokens, isInTime: false, firstMs: undefined, endedMs: 0, refusals: 0, isWasted: false,
		};
		open.add(outcome);
		const choiceRequest = {
			service: 'engines', prompt: need, excluded: new Set<string>(), software: undefined,
		};
		for (;;) {
			const daemon = daemons[Math.floor(random() * daemons.length)];
			const ticket = daemon.admission.ticketFor({
				service: 'engines', rank: kind.rank, workspace, deadlineAt, timeoutMs: kind.deadlineMs, targetMs: kind.targetMs, bytes: 1000,
			});
			const onFirst = (): void => {
				outcome.firstMs = performance.now() - arrivedAt;
			};

			if (options.sendsAll) {
				const chosen = daemon.choice.choose(choiceRequest);
				outcome.isInTime = chosen !== undefined && await send(daemon, {kind, need, deadlineAt}, chosen, onFirst);
				outcome.isWasted = chosen !== undefined && !outcome.isInTime;
				break;
			}

			let admitted = ticket.decide(choiceRequest, true);
			while (admitted.kind === 'wait') {
				await admitted.turn;
				admitted = ticket.decide(choiceRequest, true);
			}

			if (admitted.kind === 'send') {
				outcome.isInTime = await send(daemon, {kind, need, deadlineAt}, admitted.choice, () => {
					onFirst();
					admitted.begun();
				});
				outcome.isWasted = !outcome.isInTime;
				admitted.ended();
				break;
			}

			outcome.refusals++;
			const {retryAfterMs} = admitted;
			const remainingMs = deadlineAt - performance.now();
			if (remainingMs < 100 || retryAfterMs > remainingMs / 3) {
				break;
			}

			await new Promise(resolve => {
				setTimeout(resolve, retryAfterMs);
			});
		}

		outcome.endedMs = performance.now() - arrivedAt;
		outcomes.push(outcome);
		open.delete(outcome);
	};

	const arrive = (load: number, flood: number): void => {
		const weights = Array.from({length: options.workspaces}, (_item, index) => index === 0 ? flood : 1);
		const total = weights.reduce((sum, weight) => sum + weight, 0);
		for (const kind of kinds) {
			for (const [index, weight] of weights.entries()) {
				if (random() < kind.perSecond * load * stepMs / 1000 * weight / total) {
					void call(kind, `w${index}`);
				}
			}
		}
	};

	let sinceReportMs = 0;
	const step = async (): Promise<void> => {
		for (const engine of engines.values()) {
			engine.step();
		}

		sinceReportMs += stepMs;
		if (sinceReportMs >= reportEveryMs) {
			sinceReportMs = 0;
			for (const daemon of daemons) {
				const report = {...reportOf(daemon.name), loads: daemon.loadTracker.report()};
				for (const peer of daemons) {
					if (peer !== daemon) {
						peer.loadTracker.applyPeerReport(report);
						peer.admission.capacityChanged();
					}
				}
			}
		}

		clock.tick(stepMs);
		await flush();
	};

	for (const {ms, load, flood = 1} of options.phases) {
		for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
			arrive(load, flood);
			await step();
		}
	}

	while (open.size > 0) {
		await step();
	}

	return outcomes;
}
