/**
 * Replays a trace: the real decision code on the paused clock against small
 * fakes of engines, by events; the same every time by the trace's seed.
 */
import FakeTimers from '@sinonjs/fake-timers';
import {type PlacementEndpoint, type PlacerOptions} from 'hickorywalk/routing.js';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {bestPossible, type BestPossible} from './best-possible.js';
import {createEventQueue, type EventQueue} from './event-queue.js';
import {createFakeEngine, type FakeEngine} from './fake-engine.js';
import {
	measure, type Measures, type Served, type Totals,
} from './measures.js';
import {policies, type PolicyName, type ReplayPolicy} from './policies.js';
import {createReplayRouter, type ReplayRouter} from './replay-router.js';
import {type Trace, type TraceFault} from './trace-format.js';
import {preparePieces, type PreparedRequest} from './trace-pieces.js';

/** A trace made ready, with what is the same for all policies. */
export type PreparedTrace = {
	trace: Trace;
	requests: PreparedRequest[];
	best: BestPossible;
};

/** What a replay has in hand. */
type Stage = {
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
/** Time until membership tells that an engine is down or back. */
const membershipLagMs = 3000;

/** Cuts the prompts and works out the best possible hit rate. */
export const prepareTrace = async (trace: Trace): Promise<PreparedTrace> => {
	const {pieceTokens, endpoints} = trace.header;
	const requests = await preparePieces(trace.requests, pieceTokens);
	let capacity = 0;
	for (const endpoint of endpoints) {
		capacity += endpoint.cachePieces;
	}

	return {trace, requests, best: bestPossible(requests, capacity, pieceTokens)};
};

const tellMembership = (stage: Stage): void => {
	for (const router of stage.routers) {
		router.setEndpoints(stage.endpoints);
	}
};

const setUsable = (stage: Stage, names: readonly string[], usable: boolean): void => {
	stage.endpoints = stage.endpoints.map(endpoint => names.includes(endpoint.name) ? {...endpoint, usable} : endpoint);
	tellMembership(stage);
};

/** What each kind of fault does. */
const faultHandlers: {[Kind in TraceFault['kind']]: (stage: Stage, fault: Extract<TraceFault, {kind: Kind}>) => void} = {
	crash(stage, {endpoints, downMs}) {
		const {queue, engines} = stage;
		for (const name of endpoints) {
			engines.get(name)!.crash(downMs);
		}

		if (downMs > membershipLagMs) {
			queue.at(queue.now() + membershipLagMs, () => {
				setUsable(stage, endpoints, false);
			});
			queue.at(queue.now() + downMs + membershipLagMs, () => {
				setUsable(stage, endpoints, true);
			});
		}
	},
	'router-restart'(stage, {routers}) {
		for (const index of routers) {
			stage.routers[index].restart(stage.newPolicy());
		}
	},
	'events-lost'(stage, {untilMs}) {
		stage.eventsLostUntil = untilMs;
	},
	silent(stage, {router, endpoint}) {
		stage.routers[router].silence(endpoint);
	},
};

const handleFault = <Kind extends TraceFault['kind']>(stage: Stage, fault: Extract<TraceFault, {kind: Kind}>): void => {
	const handler: (stage: Stage, fault: Extract<TraceFault, {kind: Kind}>) => void = faultHandlers[fault.kind];
	handler(stage, fault);
};

const scheduleReports = (stage: Stage, untilMs: number): void => {
	const {queue, engines, routers} = stage;
	for (let atMs = 0; atMs < untilMs; atMs += reportEveryMs) {
		queue.at(atMs, () => {
			for (const [name, engine] of engines) {
				if (!engine.isUp() || atMs < stage.eventsLostUntil) {
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

const passOnCacheEvents = (stage: Stage): void => {
	const {queue, engines, routers} = stage;
	for (const [name, engine] of engines) {
		engine.onEvicted = (pieces, incarnation) => {
			if (queue.now() < stage.eventsLostUntil) {
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

const openStage = (trace: Trace, policyName: PolicyName, options: Partial<PlacerOptions>): Stage => {
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

const scheduleRequests = (stage: Stage, requests: readonly PreparedRequest[], seed: number, totals: Totals): void => {
	const generator = xoroshiro128plus(seed + 1);
	for (const prepared of requests) {
		const {atMs, workspace} = prepared.request;
		const router = stage.routers[Math.floor(uniformFloat64(generator) * stage.routers.length)];
		const served: Served = {workspace};
		totals.served.push(served);
		stage.queue.at(atMs, () => {
			router.serve(prepared, {
				firstToken(tokenAtMs) {
					served.firstTokenMs ??= tokenAtMs - atMs;
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

/** Replays a prepared trace with one policy; `options` are tried in place of the placer's defaults. */
export const replayTrace = ({trace, requests, best}: PreparedTrace, policyName: PolicyName, options: Partial<PlacerOptions> = {}): Measures => {
	const clock = FakeTimers.install({toFake: ['performance', 'Date'], now: 0});
	try {
		const totals: Totals = {
			served: [], cachedTokens: 0, computedTokens: 0, refusals: 0, attempts: 0,
		};
		const stage = openStage(trace, policyName, options);
		tellMembership(stage);
		passOnCacheEvents(stage);
		scheduleReports(stage, requests.at(-1)!.request.atMs);
		scheduleRequests(stage, requests, trace.header.seed, totals);
		for (const fault of trace.faults) {
			stage.queue.at(fault.atMs, () => {
				handleFault(stage, fault);
			});
		}

		let tickedMs = 0;
		stage.queue.runAll(atMs => {
			const wholeMs = Math.floor(atMs);
			clock.tick(wholeMs - tickedMs);
			tickedMs = wholeMs;
		});
		for (const engine of stage.engines.values()) {
			totals.cachedTokens += engine.totals.cachedTokens;
			totals.computedTokens += engine.totals.computedTokens;
		}

		return measure(totals, best);
	} finally {
		clock.uninstall();
	}
};
