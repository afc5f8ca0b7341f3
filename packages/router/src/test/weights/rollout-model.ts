/**
 * A model of engines and daemons during a rollout of weights: messages take 1 to 50 ms, an engine serves its
 * queue in order, and its report is 200 ms old.
 */
import FakeTimers from '@sinonjs/fake-timers';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createEndpointPresence, createFleetView} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {createEngineVersions, createWeightsRollout, type WeightsControl} from '../../weights.js';
import {engineDocument} from './engine-document.js';

/** Options of {@link simulateRollout}; durations in milliseconds. */
export type RolloutModel = {
	seed: number;
	daemons: number;
	engines: number;
	/** Requests per second at all daemons together. */
	rate: number;
	/** Range of the time for which an engine computes one request, before which the next doesn't begin. */
	computeMs: [min: number, max: number];
	/** Requests in the queue of each engine at the start. */
	initialQueue?: number;
	/** Fraction of the requests that may be sent to a second engine. */
	repeatableRatio?: number;
	/** Fraction of the datagrams between daemons that are lost. */
	lossRatio?: number;
	weightsMs: number;
	/** Whether the rollout knows the loads of the engines; true if left out. */
	isLoadKnown?: boolean;
	/** Times at which weights are named. */
	namings?: readonly number[];
	loadMs?: number;
	/** Loads beyond this number at once share the rate at which weights arrive. */
	maxFullSpeedLoads?: number;
	durationMs?: number;
};

/** Why an order made the engine reject a request. */
export type CrossingPath
	/** The daemon that sent the request hadn't heard of the drain. */
	= | 'unheard'
	/** The engine was ordered although it reported a queue. */
		| 'queueOutlasted'
	/** The engine's report was older than the request's arrival. */
		| 'reportLagged';

/** What happened. */
export type RolloutOutcome = {
	requests: number;
	/** Requests that engines rejected because of orders to load, by path. */
	crossed: Record<CrossingPath, number>;
	/** Requests that engines rejected because they expected other weights. */
	misdirected: number;
	/** Requests for which no engine was eligible. */
	unplaced: number;
	/** Requests that were withdrawn from a queue and placed elsewhere. */
	withdrawn: number;
	/** Loads that began: time, engine and version. */
	loads: Array<[at: number, id: string, version: number]>;
	/** Greatest number of engines that were out of service at once. */
	maxOut: number;
	/** Time from the last naming until all engines run its weights; infinite if they don't. */
	doneMs: number;
	/** Mean time for which an engine got no requests around its load. */
	meanOutMs: number;
	/** Times for which requests waited until they began, sorted. */
	waitsMs: number[];
	/** Mean time from the end of a load until the next request arrives. */
	meanIdleMs: number;
};

const stepMs = 5;
const reportLagMs = 200;
/** Age of the queue lengths by which daemons choose engines. */
const loadAgeMs = 400;
const minDelayMs = 1;
const maxDelayMs = 50;
const tickMs = 100;
/** Reports reach this many peers per round, as in the exchange between daemons. */
const peersPerRound = 16;
const roundMs = 500;
const runMs = 250;
const firstNamingMs = 1000;

type Request = {
	daemon: number; computeMs: number; sentAt: number; isRepeatable: boolean; attempts: number;
	/** Stops listening for a withdrawal. */
	leave: () => void;
};

type Engine = {
	id: string;
	version: number;
	queue: Request[];
	computing: {request: Request; endsAt: number} | undefined;
	runsUntil: number;
	orderedTo: number | undefined;
	/** It doesn't finish its running requests first. */
	loadsAtOnce: boolean;
	loadEndsAt: number | undefined;
	ordersTaken: number;
	closedAt: number | undefined;
	loadedAt: number | undefined;
	lastStateWaiting: number;
	history: Array<{at: number; waiting: number; unstarted: number; running: number; version: number; isChanging: boolean; ordersTaken: number}>;
};

const defaults = {
	repeatableRatio: 0, lossRatio: 0, namings: [firstNamingMs] as readonly number[], loadMs: 1100, maxFullSpeedLoads: 12, durationMs: 20_000, initialQueue: 0, isLoadKnown: true,
};

/** Runs the model. */
export async function simulateRollout(model: RolloutModel): Promise<RolloutOutcome> {
	const clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
	try {
		return await runModel(model, clock);
	} finally {
		clock.uninstall();
	}
}

async function runModel(options: RolloutModel, clock: FakeTimers.Clock): Promise<RolloutOutcome> {
	const model = {...defaults, ...options};
	const {
		seed, weightsMs, repeatableRatio, lossRatio, namings, loadMs, maxFullSpeedLoads, durationMs, initialQueue,
	} = model;
	const random = xoroshiro128plus(seed);
	const delayMs = (): number => uniformInt(random, minDelayMs, maxDelayMs);
	const ids = Array.from({length: model.engines}, (_item, index) => `e${index}`);
	const outcome: RolloutOutcome = {
		requests: 0, crossed: {unheard: 0, queueOutlasted: 0, reportLagged: 0}, misdirected: 0, unplaced: 0, withdrawn: 0, loads: [], maxOut: 0,
		doneMs: Number.POSITIVE_INFINITY, meanOutMs: 0, meanIdleMs: 0, waitsMs: [],
	};
	const outMs: number[] = [];
	const idleMs: number[] = [];
	const view = createFleetView(createSilentLog());
	view.acceptDocument(engineDocument);
	for (const id of ids) {
		view.acceptEndpoint({
			id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 64, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
		});
	}

	const engines = new Map<string, Engine>(ids.map(id => [id, {
		id, version: 1, queue: [], computing: undefined, runsUntil: 0, orderedTo: undefined, loadsAtOnce: false, loadEndsAt: undefined, ordersTaken: 0,
		closedAt: undefined, loadedAt: undefined, lastStateWaiting: 0, history: [],
	}]));
	const daemons = Array.from({length: model.daemons}, () => ({versions: createEngineVersions(), open: new Map<string, Set<Request>>()}));
	const [holder] = daemons;

	const openAt = (daemon: number, id: string): Set<Request> => {
		const {open} = daemons[daemon];
		const requests = open.get(id) ?? new Set();
		open.set(id, requests);
		return requests;
	};

	const isClosedAt = (daemon: number, id: string): boolean => daemons[daemon].versions.of(view.endpoint(id)!, 'm').isChanging;

	/** Queue of an engine as daemons know it. */
	const knownQueue = (id: string): number => engines.get(id)!.history.findLast(({at}) => performance.now() - at >= loadAgeMs)?.waiting ?? 0;

	const knownUnstarted = (id: string): number => engines.get(id)!.history.findLast(({at}) => performance.now() - at >= loadAgeMs)?.unstarted ?? 0;

	/** Of two random engines that this daemon may use, the one with the shorter queue. */
	const chooseEngine = (daemon: number, excluded?: string): string | undefined => {
		const open = ids.filter(id => id !== excluded && !isClosedAt(daemon, id));
		const certain = open.filter(id => !daemons[daemon].versions.of(view.endpoint(id)!, 'm').isUncertain);
		const eligible = certain.length > 0 ? certain : open;
		if (eligible.length === 0) {
			return undefined;
		}

		const [a, b] = [0, 0].map(() => eligible[uniformInt(random, 0, eligible.length - 1)]);
		return knownQueue(a) <= knownQueue(b) ? a : b;
	};

	const reject = (engine: Engine, request: Request): void => {
		openAt(request.daemon, engine.id).delete(request);
		request.leave();
		if (request.sentAt > (engine.closedAt ?? Number.POSITIVE_INFINITY)) {
			outcome.crossed.unheard++;
		} else {
			outcome.crossed[engine.lastStateWaiting > 0 ? 'queueOutlasted' : 'reportLagged']++;
		}
	};

	const arrive = (engine: Engine, request: Request, expected: number): void => {
		if (engine.orderedTo !== undefined) {
			reject(engine, request);
		} else if (expected === engine.version) {
			if (engine.loadedAt !== undefined) {
				idleMs.push(performance.now() - engine.loadedAt);
				engine.loadedAt = undefined;
			}

			engine.queue.push(request);
		} else {
			openAt(request.daemon, engine.id).delete(request);
			request.leave();
			outcome.misdirected++;
			daemons[request.daemon].versions.disproved(engine.id, expected);
			daemons[request.daemon].versions.seen(engine.id, engine.version);
		}
	};

	const watchOrder = (request: Request, id: string, arrival?: NodeJS.Timeout): void => {
		const {versions} = daemons[request.daemon];
		request.leave = versions.watchOrder(id, () => {
			const elsewhere = request.isRepeatable && request.attempts < 2 ? chooseEngine(request.daemon, id) : undefined;
			if (elsewhere === undefined || !openAt(request.daemon, id).delete(request)) {
				return;
			}

			outcome.withdrawn++;
			clearTimeout(arrival);
			setTimeout(() => {
				const engine = engines.get(id)!;
				engine.queue = engine.queue.filter(one => one !== request);
			}, delayMs());
			send({...request}, id);
		});
	};

	const send = (request: Request, excluded?: string): void => {
		const id = chooseEngine(request.daemon, excluded);
		if (id === undefined) {
			outcome.unplaced++;
			return;
		}

		const engine = engines.get(id)!;
		const {versions} = daemons[request.daemon];
		const expected = versions.of(view.endpoint(id)!, 'm').version;
		request.sentAt = performance.now();
		request.attempts++;
		openAt(request.daemon, id).add(request);
		watchOrder(request, id, setTimeout(arrive, delayMs(), engine, request, expected));
	};

	const tellPeer = (daemon: number, report: Array<[id: string, version: number, changingTo: number, dueInMs: number]>): void => {
		if (uniformFloat64(random) < lossRatio) {
			return;
		}

		setTimeout(() => {
			const {versions} = daemons[daemon];
			for (const [id, version, changingTo, dueInMs] of report) {
				versions.seen(id, version);
				if (changingTo > 0) {
					versions.changing(id, changingTo, dueInMs > 0 ? dueInMs : undefined);
				} else if (dueInMs >= 0) {
					versions.planned(id, view.namedWeights('m')?.version ?? 0, dueInMs);
				}
			}
		}, delayMs());
	};

	/** The holder's report, as its daemon composes it. */
	const holderReport = (): Array<[string, number, number, number]> => {
		const changing = holder.versions.allChanging();
		return ids.map(id => {
			const {version} = holder.versions.of(view.endpoint(id)!, 'm');
			const dueMs = holder.versions.reportedDueMs(view.endpoint(id)!, 'm');
			return [id, version, changing.get(id) ?? 0, Number.isFinite(dueMs) ? dueMs : -1];
		});
	};

	const tellPeers = (first: number, count: number): void => {
		const report = holderReport();
		for (let index = 0; index < Math.min(count, daemons.length - 1); index++) {
			tellPeer(1 + ((first + index) % (daemons.length - 1)), report);
		}
	};

	/** Engines at which daemons have last reported requests that hadn't begun. */
	let reportedUnstarted = new Set<string>();

	const control: WeightsControl = {
		async state({id}) {
			const engine = engines.get(id)!;
			await clockDelay(delayMs());
			const {waiting, running, version, isChanging, ordersTaken} = engine.history.findLast(({at}) => performance.now() - at >= reportLagMs) ?? engine.history[0];
			engine.lastStateWaiting = waiting;
			await clockDelay(delayMs());
			return {
				weights: new Map([['m', version]]), waiting, running, isChanging, ordersTaken,
			};
		},
		async order({id}, {version, runs}) {
			const engine = engines.get(id)!;
			await clockDelay(delayMs());
			if (engine.orderedTo !== undefined) {
				return 'busy';
			}

			engine.orderedTo = version;
			engine.loadsAtOnce = runs === 'continue';
			engine.ordersTaken++;
			const rejected = engine.queue;
			engine.queue = [];
			for (const request of rejected) {
				reject(engine, request);
			}

			await clockDelay(delayMs());
			return 'accepted';
		},
	};

	const rollout = createWeightsRollout({
		name: 'vm-0', view, versions: holder.versions, control, held: () => ({duty: 'weights', fencing: 1, msLeft: 1000}), handoverMs: 3200,
		presence: createEndpointPresence(createSilentLog()),
		announce() {
			tellPeers(0, daemons.length - 1);
		},
		daemons: () => daemons.length,
		weightsMs,
		remainingMs: id => Math.max(0, ...daemons.flatMap(({open}) => [...open.get(id) ?? []].map(() => runMs))),
		...(model.isLoadKnown && {
			useOf: ({id}) => ({queueMs: knownUnstarted(id) * (model.computeMs[0] + model.computeMs[1]) / 2, usedRatio: 0}),
		}),
		hasUnstarted: id => openAt(0, id).size > 0 || reportedUnstarted.has(id),
		log: createSilentLog(),
	});

	const beginNext = (engine: Engine): void => {
		const now = performance.now();
		if (engine.computing !== undefined && now >= engine.computing.endsAt) {
			openAt(engine.computing.request.daemon, engine.id).delete(engine.computing.request);
			engine.runsUntil = now + runMs;
			engine.computing = undefined;
		}

		const next = engine.computing === undefined ? engine.queue.shift() : undefined;
		if (next !== undefined) {
			next.leave();
			outcome.waitsMs.push(now - next.sentAt);
			engine.computing = {request: next, endsAt: now + next.computeMs};
		}
	};

	const load = (engine: Engine): void => {
		const now = performance.now();
		if (engine.orderedTo === undefined || (!engine.loadsAtOnce && (engine.computing !== undefined || now < engine.runsUntil))) {
			return;
		}

		if (engine.loadEndsAt === undefined) {
			const loading = [...engines.values()].filter(({loadEndsAt}) => loadEndsAt !== undefined).length + 1;
			engine.loadEndsAt = now + (loadMs * Math.max(1, loading / maxFullSpeedLoads));
			outcome.loads.push([now, engine.id, engine.orderedTo]);
		} else if (now >= engine.loadEndsAt) {
			engine.version = engine.orderedTo;
			engine.orderedTo = undefined;
			engine.loadEndsAt = undefined;
			engine.loadedAt = now;
			outMs.push(now - engine.closedAt!);
			engine.closedAt = undefined;
		}
	};

	const observe = (engine: Engine): void => {
		engine.history.push({
			at: performance.now(),
			waiting: engine.queue.length,
			unstarted: engine.queue.length + (engine.computing === undefined ? 0 : 1),
			running: Number(engine.computing !== undefined || performance.now() < engine.runsUntil),
			version: engine.version,
			isChanging: engine.orderedTo !== undefined,
			ordersTaken: engine.ordersTaken,
		});
		if (engine.history.length > 100) {
			engine.history.shift();
		}

		if (engine.closedAt === undefined && (holder.versions.allChanging().get(engine.id) ?? 0) > engine.version) {
			engine.closedAt = performance.now();
		}
	};

	const newRequest = (): Request => ({
		daemon: uniformInt(random, 0, daemons.length - 1), computeMs: uniformInt(random, ...model.computeMs), sentAt: 0,
		isRepeatable: uniformFloat64(random) < repeatableRatio, attempts: 0, leave: () => undefined,
	});

	for (const engine of engines.values()) {
		for (let count = 0; count < initialQueue; count++) {
			const request: Request = {...newRequest(), attempts: 1};
			openAt(request.daemon, engine.id).add(request);
			watchOrder(request, engine.id);
			engine.queue.push(request);
		}
	}

	let round = 0;
	for (let at = 0; at < durationMs; at += stepMs) {
		const naming = namings.indexOf(at);
		if (naming !== -1) {
			view.acceptWeights('m', naming + 2, 0);
		}

		const expectedRequests = model.rate * stepMs / 1000;
		for (let count = Math.floor(expectedRequests + uniformFloat64(random)); count > 0; count--) {
			outcome.requests++;
			send(newRequest());
		}

		if (at % tickMs === 0) {
			rollout.tick();
		}

		if (at % loadAgeMs === 0) {
			reportedUnstarted = new Set(ids.filter(id => daemons.some(({open}) => (open.get(id)?.size ?? 0) > 0)));
		}

		if (at % roundMs === 0) {
			tellPeers(round * peersPerRound, peersPerRound);
			round++;
		}

		for (const engine of engines.values()) {
			beginNext(engine);
			load(engine);
			observe(engine);
		}

		outcome.maxOut = Math.max(outcome.maxOut, [...engines.values()].filter(({closedAt}) => closedAt !== undefined).length);
		const newest = namings.filter(time => time <= at).length + 1;
		const isDone = newest === namings.length + 1 && [...engines.values()].every(({version}) => version === newest);
		outcome.doneMs = isDone ? Math.min(outcome.doneMs, at - namings.at(-1)!) : Number.POSITIVE_INFINITY;
		await clock.tickAsync(stepMs);
	}

	const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
	outcome.waitsMs.sort((a, b) => a - b);
	outcome.meanOutMs = Math.round(mean(outMs));
	outcome.meanIdleMs = Math.round(mean(idleMs));
	return outcome;
}

const clockDelay = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});
