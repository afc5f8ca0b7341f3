import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createEndpointPresence, createFleetView, type LiveEndpoint} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {
	createEndpointBackoff, createEndpointChoice, createEndpointLoadTracker, createResidentParts, createStoredParts, type EndpointChoice,
} from '../../placing.js';
import {createUnprovenVersions} from '../../releases.js';
import {createHealthTracker} from '../../routing.js';
import {createEngineVersions, createWeightsDeadlines} from '../../weights.js';
import {createLoneBrittle, createLoneLimits} from './lone-limits.js';
import {fleetDocument} from './placed-document.js';
import {createWorkingPaths} from './working-paths.js';

const daemonCount = 71;
const engineCount = 42;
const requestCount = 600;
/** Each draws two to four of the engines, so a preferred one gets up to four times the mean, beside chance. */
const maxShareOfMean = 6;

describe('engines of a fleet of which only one is not about to drain', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('share the requests with long answers that daemons place before they hear of each other', () => {
		// Guards against one engine that gets the long answers of the whole fleet while a rollout is planned.
		const random = xoroshiro128plus(1);
		const daemons = Array.from({length: daemonCount}, (): EndpointChoice => {
			const log = createSilentLog();
			const view = createFleetView(log);
			view.acceptDocument(fleetDocument({isEngine: true}));
			const versions = createEngineVersions();
			for (let index = 0; index < engineCount; index++) {
				const endpoint: LiveEndpoint = {
					id: `e${index}`, service: 'service', address: `10.0.0.${index}:80`, dataCentre: 'a', slots: 64, isLeaving: false,
					startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
				};
				view.acceptEndpoint(endpoint);
			}

			view.acceptWeights('m', 2, 0);
			versions.seen('e0', 2);
			for (let index = 1; index < engineCount; index++) {
				versions.planned(`e${index}`, 2, 500);
			}

			return createEndpointChoice({
				view, loadTracker: createEndpointLoadTracker(), health: createHealthTracker(), presence: createEndpointPresence(log), versions,
				weightsDeadlines: createWeightsDeadlines({view, weightsMs: 15_000}), limits: createLoneLimits(),
				backoff: createEndpointBackoff({random: () => 0.5, log}), brittle: createLoneBrittle(), paths: createWorkingPaths(),
				releases: createUnprovenVersions({view, log}), storedParts: createStoredParts(), residentParts: createResidentParts({memoryTokens: view.memoryTokens}),
				dataCentre: 'a', connectionShare: () => 1, daemons: () => daemonCount, random: () => uniformFloat64(random),
			});
		});
		let atPreferred = 0;
		for (let index = 0; index < requestCount; index++) {
			const chosen = daemons[index % daemonCount].choose({
				service: 'service',
				prompt: {
					model: 'm', parts: [{id: `p${index}`, tokens: 200}, {id: `own${index}`, tokens: 600}], promptTokens: 800, outputTokens: 1200, isolationKey: '',
				},
				excluded: new Set(),
			})!;
			atPreferred += chosen.endpoint.id === 'e0' ? 1 : 0;
		}

		assert.isAbove(atPreferred, 0);
		assert.isAtMost(atPreferred, maxShareOfMean * requestCount / engineCount);
	});
});
