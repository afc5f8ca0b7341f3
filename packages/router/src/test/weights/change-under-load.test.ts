import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createEndpointPresence, createFleetView} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {
	createEndpointLoadTracker, createEndpointBackoff, createEndpointChoice, createStoredParts, createResidentParts,
} from '../../placing.js';
import {createUnprovenVersions} from '../../releases.js';
import {createHealthTracker} from '../../routing.js';
import {
	createEngineVersions, createWeightsDeadlines, createWeightsRollout, type WeightsControl,
} from '../../weights.js';
import {createLoneBrittle, createLoneLimits} from '../placing/lone-limits.js';
import {createWorkingPaths} from '../placing/working-paths.js';
import {engineDocument} from './engine-document.js';

const ids = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5'];
/** Milliseconds for which an engine loads weights once its requests have ended. */
const loadMs = 1300;
/** Milliseconds that one generated token takes. */
const msPerToken = 5;
const stepMs = 10;

type Engine = {
	version: number;
	/** End times of the requests in flight. */
	ends: Set<number>;
	orderedTo: number | undefined;
	loadsUntil: number | undefined;
	/** Time from which on it gets no requests. */
	closedAt: number | undefined;
};

/** For how long each engine got no requests around its change, and the outcome for callers. */
type Outcome = {downtimesMs: number[]; refused: number; requests: number; doneMs: number};

/**
 * Simulates six engines with 14 long requests per second, of 0.3 to 4 s each, and 26 short
 * ones; new weights are named after three seconds.
 */
async function simulate(seed: number): Promise<Outcome> {
	const clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
	try {
		const random = xoroshiro128plus(seed);
		const view = createFleetView(createSilentLog());
		view.acceptDocument({
			...engineDocument,
			services: new Map([['engines', {
				name: 'engines', maxConnections: 10_000, engine: {
					slots: 64, memoryTokens: 115_000, tokenBytes: 35_136, linkBytesPerMs: 137_500_000, models: ['m'],
				},
			}]]),
		});
		for (const id of ids) {
			view.acceptEndpoint({
				id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 64, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
			});
		}

		const engines = new Map<string, Engine>(ids.map(id => [id, {
			version: 1, ends: new Set(), orderedTo: undefined, loadsUntil: undefined, closedAt: undefined,
		}]));
		const control: WeightsControl = {
			state: async ({id}) => ({
				weights: new Map([['m', engines.get(id)!.version]]), waiting: 0, running: engines.get(id)!.ends.size, isChanging: engines.get(id)!.orderedTo !== undefined, ordersTaken: 0,
			}),
			async order({id}, {version}) {
				engines.get(id)!.orderedTo = version;
				return 'accepted';
			},
		};
		const loadTracker = createEndpointLoadTracker();
		const presence = createEndpointPresence(createSilentLog());
		const versions = createEngineVersions();
		const choice = createEndpointChoice({
			view, loadTracker, health: createHealthTracker(), presence, versions, weightsDeadlines: createWeightsDeadlines({view, weightsMs: 12_000}), limits: createLoneLimits(),
			backoff: createEndpointBackoff({random: () => 0.5, log: createSilentLog()}),
			brittle: createLoneBrittle(), paths: createWorkingPaths(), releases: createUnprovenVersions({view, log: createSilentLog()}),
			storedParts: createStoredParts(), residentParts: createResidentParts({memoryTokens: view.memoryTokens}),
			dataCentre: 'a', connectionShare: () => 1, daemons: () => 1, random: () => uniformFloat64(random),
		});
		const rollout = createWeightsRollout({
			name: 'vm-1', view, presence, versions, control, held: () => ({duty: 'weights', fencing: 1, msLeft: 1000}), handoverMs: 3200, announce: () => undefined, weightsMs: 12_000,
			remainingMs: id => loadTracker.load(view.endpoint(id)!).remainingMs, log: createSilentLog(),
		});
		const outcome: Outcome = {
			downtimesMs: [], refused: 0, requests: 0, doneMs: 0,
		};

		const sendRequest = (outputTokens: number): void => {
			outcome.requests++;
			const chosen = choice.choose({
				service: 'engines', excluded: new Set(), prompt: {
					model: 'm', parts: [{id: 'own', tokens: 600}], promptTokens: 600, outputTokens, isolationKey: '',
				},
			});
			if (chosen === undefined) {
				outcome.refused++;
				return;
			}

			const engine = engines.get(chosen.endpoint.id)!;
			const end = performance.now() + 70 + (outputTokens * msPerToken);
			const work = loadTracker.start(chosen.endpoint.id, {missingTokens: 600, memoryTokens: 700, outputTokens});
			engine.ends.add(end);
			setTimeout(work.begun, 70);
			setTimeout(() => {
				engine.ends.delete(end);
				work.ended(true);
			}, end - performance.now());
		};

		const advance = (engine: Engine): void => {
			if (engine.orderedTo === undefined) {
				return;
			}

			if (engine.loadsUntil === undefined && engine.ends.size === 0) {
				engine.loadsUntil = performance.now() + loadMs;
			} else if (engine.loadsUntil !== undefined && performance.now() >= engine.loadsUntil) {
				engine.version = engine.orderedTo;
				engine.orderedTo = undefined;
				engine.loadsUntil = undefined;
				outcome.downtimesMs.push(performance.now() - engine.closedAt!);
			}
		};

		const namedAt = 3000;
		for (let at = 0; at < 20_000; at += stepMs) {
			if (at === namedAt) {
				view.acceptWeights('m', 2, 0);
			}

			if (uniformFloat64(random) < 14 * stepMs / 1000) {
				sendRequest(Math.round(60 + (uniformFloat64(random) * 740)));
			}

			if (uniformFloat64(random) < 26 * stepMs / 1000) {
				sendRequest(10);
			}

			if (at % 100 === 0) {
				rollout.tick();
			}

			for (const [id, engine] of engines) {
				engine.closedAt ??= versions.of(view.endpoint(id)!, 'm').isChanging ? performance.now() : undefined;
				advance(engine);
			}

			if (outcome.doneMs === 0 && [...engines.values()].every(engine => engine.version === 2)) {
				outcome.doneMs = at - namedAt;
			}

			await clock.tickAsync(stepMs);
		}

		return outcome;
	} finally {
		clock.uninstall();
	}
}

describe('a change of weights under load', () => {
	it('takes each engine out of service for little longer than its load, and refuses no request', async () => {
		// Engines finish their requests before they load. Without changes that are announced
		// ahead, an engine was out of service until its longest request had ended: 3.1, 2.6
		// and 2.9 s on average under these three loads, 4.5 s at most. The target is the load
		// plus half a second.
		for (const seed of [1, 2, 3]) {
			const {downtimesMs, refused, doneMs} = await simulate(seed);
			const meanMs = downtimesMs.reduce((sum, ms) => sum + ms, 0) / downtimesMs.length;
			assert.lengthOf(downtimesMs, ids.length);
			assert.equal(refused, 0);
			assert.isAtMost(meanMs, loadMs + 500, `seed ${seed}, ${JSON.stringify(downtimesMs.map(ms => Math.round(ms)))}, done after ${doneMs} ms`);
		}
	});
});
