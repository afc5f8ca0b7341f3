/**
 * Replays a trace as a discrete-event simulation: the real placement code on a
 * fake clock against fake engines. The trace's seed makes all replays equal.
 */
import FakeTimers from '@sinonjs/fake-timers';
import {type PlacementEndpoint, type PlacerOptions} from 'hickorywalk/routing.js';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {bestPossible, type BestPossible} from './best-possible.js';
import {createEventQueue, type EventQueue} from './event-queue.js';
import {createFakeEngine, type FakeEngine} from './fake-engine.js';
import {
	measure, type Measures, type RequestResult, type Totals,
} from './measures.js';
import {policies, type PolicyName, type ReplayPolicy} from './policies.js';
import {createReplayRouter, type ReplayRouter} from './replay-router.js';
import {type Trace, type TraceFault} from './trace-format.js';
import {preparePieces, type PreparedRequest} from './trace-pieces.js';

/** A trace with the data that replays with all policies share. */
export type PreparedTrace = {
	trace: Trace;
	requests: PreparedRequest[];
	best: BestPossible;
};

/** State of a running replay. */
type ReplayState = {
	queue: EventQueue;
	engines: Map<string, FakeEngine>;
	routers: ReplayRouter[];
	newPolicy: () => ReplayPolicy;
	endpoints: PlacementEndpoint[];
	eventsLostUntil: number;
};

/** Time between load reports of an engine, and their age on arrival. */
const reportEveryMs = 1000;
const reportLagMs = 300;
/** Age of cache events on arrival. */
const eventLagMs = 500;
/** Time until membership reports that an engine is down or up again. */
const membershipLagMs = 3000;

/** Splits the prompts into pieces and computes the best possible hit rate. */
export const prepareTrace = async (trace: Trace): Promise<PreparedTrace> => {
	const {pieceTokens, endpoints} = trace.header;
	const requests = await preparePieces(trace.requests, pieceTokens);
	let capacity = 0;
	for (const endpoint of endpoints) {
		capacity += endpoint.cachePieces;
	}

	return {trace, requests, best: bestPossible(requests, capacity, pieceTokens)};
};

const updateRouterEndpoints = (state: ReplayState): void => {
	for (const router of state.routers) {
		router.setEndpoints(state.endpoints);
	}
};

const setUsable = (state: ReplayState, names: readonly string[], usable: boolean): void => {
	state.endpoints = state.endpoints.map(endpoint => names.includes(endpoint.name) ? {...endpoint, usable} : endpoint);
	updateRouterEndpoints(state);
};

/** Effect of each kind of fault. */
const faultHandlers: {[Kind in TraceFault['kind']]: (state: ReplayState, fault: Extract<TraceFault, {kind: Kind}>) => void} = {
	crash(state, {endpoints, downMs}) {
		const {queue, engines} = state;
		for (const name of endpoints) {
			engines.get(name)!.crash(downMs);
		}

		if (downMs > membershipLagMs) {
			queue.at(queue.now() + membershipLagMs, () => {
				setUsable(state, endpoints, false);
			});
			queue.at(queue.now() + downMs + membershipLagMs, () => {
				setUsable(state, endpoints, true);
			});
		}
	},
	'router-restart'(state, {routers}) {
		for (const index of routers) {
			state.routers[index].restart(state.newPolicy());
		}
	},
	'events-lost'(state, {untilMs}) {
		state.eventsLostUntil = untilMs;
	},
	silent(state, {router, endpoint}) {
		state.routers[router].silence(endpoint);
	},
};

const handleFault = <Kind extends TraceFault['kind']>(state: ReplayState, fault: Extract<TraceFault, {kind: Kind}>): void => {
	const handler: (state: ReplayState, fault: Extract<TraceFault, {kind: Kind}>) => void = faultHandlers[fault.kind];
	handler(state, fault);
};

const scheduleReports = (state: ReplayState, untilMs: number): void => {
	const {queue, engines, routers} = state;
	for (let atMs = 0; atMs < untilMs; atMs += reportEveryMs) {
		queue.at(atMs, () => {
			for (const [name, engine] of engines) {
				if (!engine.isUp() || atMs < state.eventsLostUntil) {
					continue;
				}

				const load = engine.load();
				queue.at(atMs + reportLagMs, () => {
					for (const router of routers) {
						router.policy().observe(name, load);
					}
				});
			}
		});
	}
};

const forwardCacheEvents = (state: ReplayState): void => {
	const {queue, engines, routers} = state;
	for (const [name, engine] of engines) {
		engine.onEvicted = (pieces, incarnation) => {
			if (queue.now() < state.eventsLostUntil) {
				return;
			}

			queue.at(queue.now() + eventLagMs, () => {
				for (const router of routers) {
					router.policy().evicted(name, incarnation, pieces);
				}
			});
		};
	}
};

const createReplayState = (trace: Trace, policyName: PolicyName, options: Partial<PlacerOptions>): ReplayState => {
	const {header} = trace;
	const generator = xoroshiro128plus(header.seed);
	const random = (): number => uniformFloat64(generator);
	const queue = createEventQueue();
	const engines = new Map(header.endpoints.map(endpoint => [endpoint.name, createFakeEngine(endpoint, header.pieceTokens, queue)]));
	const newPolicy = (): ReplayPolicy => policies[policyName]({random, pieceTokens: header.pieceTokens, options});
	const routers = Array.from({length: header.routers}, () => createReplayRouter(newPolicy(), engines, queue));
	const endpoints = header.endpoints.map(({name, service, dataCentre}) => ({
		name, service, dataCentre, usable: true,
	}));
	return {
		queue, engines, routers, newPolicy, endpoints, eventsLostUntil: 0,
	};
};

const scheduleRequests = (state: ReplayState, requests: readonly PreparedRequest[], seed: number, totals: Totals): void => {
	const generator = xoroshiro128plus(seed + 1);
	for (const prepared of requests) {
		const {atMs, workspace} = prepared.request;
		const router = state.routers[Math.floor(uniformFloat64(generator) * state.routers.length)];
		const result: RequestResult = {workspace};
		totals.results.push(result);
		state.queue.at(atMs, () => {
			router.serve(prepared, {
				firstToken(tokenAtMs) {
					result.firstTokenMs ??= tokenAtMs - atMs;
				},
				refused() {
					totals.refusals++;
				},
				attempted() {
					totals.attempts++;
				},
			});
		});
	}
};

/** Replays a prepared trace with one policy; `options` override the placer's defaults. */
export const replayTrace = ({trace, requests, best}: PreparedTrace, policyName: PolicyName, options: Partial<PlacerOptions> = {}): Measures => {
	const clock = FakeTimers.install({toFake: ['performance', 'Date'], now: 0});
	try {
		const totals: Totals = {
			results: [], cachedTokens: 0, computedTokens: 0, refusals: 0, attempts: 0,
		};
		const state = createReplayState(trace, policyName, options);
		updateRouterEndpoints(state);
		forwardCacheEvents(state);
		scheduleReports(state, requests.at(-1)!.request.atMs);
		scheduleRequests(state, requests, trace.header.seed, totals);
		for (const fault of trace.faults) {
			state.queue.at(fault.atMs, () => {
				handleFault(state, fault);
			});
		}

		let tickedMs = 0;
		state.queue.runAll(atMs => {
			const wholeMs = Math.floor(atMs);
			clock.tick(wholeMs - tickedMs);
			tickedMs = wholeMs;
		});
		for (const engine of state.engines.values()) {
			totals.cachedTokens += engine.totals.cachedTokens;
			totals.computedTokens += engine.totals.computedTokens;
		}

		return measure(totals, best);
	} finally {
		clock.uninstall();
	}
};
