import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	createEndpointPresence, createFleetView, type EndpointPresence, type FleetDocument, type FleetView, type LiveEndpoint,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {
	createEndpointBackoff, createEndpointLoadTracker, createEndpointChoice, createStoredParts, createResidentParts,
	type ChoiceRequest, type EndpointBackoff, type EndpointLoadTracker, type EndpointChoice, type EndpointLimits, type StoredParts, type PromptNeed, type RequestDistance,
} from '../../placing.js';
import {createUnprovenVersions, type UnprovenVersions} from '../../releases.js';
import {createHealthTracker} from '../../routing.js';
import {createEngineVersions, createWeightsDeadlines, type EngineVersions} from '../../weights.js';
import {reportOf} from '../peers/empty-report.js';
import {createLoneBrittle, createLoneLimits} from './lone-limits.js';
import {createWorkingPaths} from './working-paths.js';

const prompt = (subject: string, more: Partial<PromptNeed> = {}): PromptNeed => ({
	model: 'm', parts: [{id: 'top', tokens: 2500}, {id: subject, tokens: 3800}, {id: 'own', tokens: 2900}], promptTokens: 9200, outputTokens: 13, isolationKey: '', ...more,
});

describe('createEndpointChoice', () => {
	let clock: FakeTimers.Clock;
	let view: FleetView;
	let loadTracker: EndpointLoadTracker;
	let presence: EndpointPresence;
	let storedParts: StoredParts;
	let versions: EngineVersions;
	let limits: EndpointLimits;
	let backoff: EndpointBackoff;
	let releases: UnprovenVersions;
	let choice: EndpointChoice;

	const list = (id: string, more: Partial<LiveEndpoint> = {}): void => {
		view.acceptEndpoint({
			id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 64, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]), ...more,
		});
	};

	const choose = (need: PromptNeed | undefined, more: Partial<ChoiceRequest> = {}) => choice.choose({
		service: 'engines', prompt: need, excluded: new Set(), ...more,
	});

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
		clock.tick(1000);
		view = createFleetView(createSilentLog());
		const document: FleetDocument = {
			version: 1,
			routes: [],
			services: new Map([['engines', {
				name: 'engines', maxConnections: 100, engine: {
					slots: 64, memoryTokens: 96_000, tokenBytes: 164_000, linkBytesPerMs: 39_000_000, models: ['m'],
				},
			}]]),
			cacheStores: [{
				name: 'keep', address: '10.9.0.1:80', dataCentre: 'b', linkBytesPerMs: 39_000_000,
			}],
			workspaces: [],
			limits: {
				headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
			},
		};
		view.acceptDocument(document);
		loadTracker = createEndpointLoadTracker();
		presence = createEndpointPresence(createSilentLog());
		storedParts = createStoredParts();
		versions = createEngineVersions();
		limits = createLoneLimits();
		backoff = createEndpointBackoff({random: () => 0.5, log: createSilentLog()});
		releases = createUnprovenVersions({view, log: createSilentLog()});
		const random = xoroshiro128plus(1);
		choice = createEndpointChoice({
			view, loadTracker, health: createHealthTracker(), presence, versions,
			weightsDeadlines: createWeightsDeadlines({view, weightsMs: 8000}), limits, backoff, brittle: createLoneBrittle(), paths: createWorkingPaths(), releases, storedParts,
			residentParts: createResidentParts({memoryTokens: view.memoryTokens}),
			dataCentre: 'a', connectionShare: () => 0.1, daemons: () => 10, random: () => uniformFloat64(random),
		});
		for (let index = 0; index < 8; index++) {
			list(`e${index}`);
		}
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('sends nothing to a version that was ordered, and keeps the homes of prompts as they were', () => {
		// Guards against a faulty release that gets its share of the requests at once.
		const subjects = Array.from({length: 40}, (_item, index) => `s${index}`);
		const before = subjects.map(subject => choose(prompt(subject))!.endpoint.id);
		releases.ordered({service: 'engines', version: 'v2', durationMs: 12_000}, 7);
		for (let index = 0; index < 8; index++) {
			list(`new${index}`, {software: 'v2'});
		}

		assert.deepEqual(subjects.map(subject => choose(prompt(subject))!.endpoint.id), before);
	});

	it('sends prompts with the same shared parts to the same engine, and spreads the others', () => {
		const homes = new Set<string>();
		for (let subject = 0; subject < 100; subject++) {
			const first = choose(prompt(`s${subject}`))!.endpoint.id;
			assert.equal(choose(prompt(`s${subject}`))!.endpoint.id, first);
			homes.add(first);
		}

		assert.lengthOf(homes, 8);
	});

	it('excludes endpoints whose process has ended, however many, until their id starts again', () => {
		// Guards against requests to ended processes, which are refused: most engines
		// crash and return under other ids while the list isn't updated for seconds.
		for (let index = 0; index < 6; index++) {
			presence.replaced(view.endpoint(`e${index}`)!);
		}

		for (let subject = 0; subject < 20; subject++) {
			assert.include(['e6', 'e7'], choose(prompt(`s${subject}`))!.endpoint.id);
		}

		list('e0', {startedAt: 2});
		const homes = new Set(Array.from({length: 40}, (_item, subject) => choose(prompt(`t${subject}`))!.endpoint.id));
		assert.sameMembers([...homes], ['e0', 'e6', 'e7']);
	});

	it('never falls back to an engine that is leaving or has asked for a pause, however few others are left', () => {
		// Guards against the fallback to unsuitable engines, which must not include these.
		for (let index = 0; index < 8; index++) {
			const engine = view.endpoint(`e${index}`)!;
			presence.declined(engine);
			if (index % 2 === 0) {
				view.markLeaving(engine, 'answer');
			} else {
				backoff.requested(engine, 3000);
			}
		}

		assert.isUndefined(choose(prompt('s')));
		clock.tick(2999);
		assert.isUndefined(choose(prompt('s')));
		clock.tick(300);
		assert.include(['e1', 'e3', 'e5', 'e7'], choose(prompt('s'))!.endpoint.id);
	});

	it('avoids an engine briefly after it declined a request, unless all have declined', () => {
		// An engine that loads weights refuses all requests. If that isn't remembered,
		// the callers of the prompts that it has cached are refused one after another.
		const {id} = choose(prompt('s'))!.endpoint;
		presence.declined(view.endpoint(id)!);
		assert.notEqual(choose(prompt('s'))!.endpoint.id, id);
		clock.tick(250);
		assert.equal(choose(prompt('s'))!.endpoint.id, id);
		for (let index = 0; index < 8; index++) {
			presence.declined(view.endpoint(`e${index}`)!);
		}

		assert.isDefined(choose(prompt('s')));
	});

	it('spreads prompts with the same subject once its home engine would answer later than an engine without the cached parts', () => {
		// Guards against a queue at the home engine when a third of all requests share
		// one subject; other engines fetch the shared parts from the store at low cost.
		const used = new Map<string, number>();
		for (let count = 0; count < 40; count++) {
			const need = prompt('hot');
			const chosen = choose(need)!;
			choice.placed(chosen, need);
			loadTracker.start(chosen.endpoint.id, {missingTokens: chosen.missingTokens, memoryTokens: 9213, outputTokens: 13});
			used.set(chosen.endpoint.id, (used.get(chosen.endpoint.id) ?? 0) + 1);
		}

		assert.isAtLeast(used.size, 6);
		assert.isAtMost(Math.max(...used.values()), 10);
	});

	it('fetches shared parts from the store, with a separate cache scope for each weights version and isolated workspace', () => {
		const open = choose(prompt('s1'))!;
		const isolated = choose(prompt('s1', {isolationKey: 'club'}))!;
		assert.deepEqual([open.fetchFrom, open.cacheScope, isolated.cacheScope], ['10.9.0.1:80', ':1', 'club:1']);
	});

	it('fetches shared parts from an engine that holds them, and from the store when none does', () => {
		// All engines share the store's link. At 26 long prompts per second it was
		// used to three quarters and more, and fetches queued.
		const first = choose(prompt('s1'))!;
		choice.placed(first, prompt('s1'));
		storedParts.applyPeerReport([':1 top', ':1 s1', ':1 s2']);
		const other = choose(prompt('s1'), {excluded: new Set([first.endpoint.id])})!;
		assert.deepEqual([other.fetchFrom, other.missingTokens], [first.endpoint.address, 2900]);
		assert.equal(choose(prompt('s2'))!.fetchFrom, '10.9.0.1:80');
	});

	it('places a prompt elsewhere while its home engine reports a limit, and at home afterwards without computing it again', () => {
		// Guards against computing a shared part twice each time an engine reports a limit.
		const home = choose(prompt('s1'))!;
		choice.placed(home, prompt('s1'));
		limits.recordLimit(home.endpoint, 1);
		const away = choose(prompt('s1'))!;
		assert.notEqual(away.endpoint.id, home.endpoint.id);
		assert.deepEqual([away.fetchFrom, away.missingTokens], [home.endpoint.address, 2900]);
		choice.placed(away, prompt('s1'));
		limits.recordLimit(home.endpoint, undefined);
		const back = choose(prompt('s1'), {excluded: new Set([away.endpoint.id])})!;
		assert.deepEqual([back.endpoint.id, back.missingTokens, back.fetchMs], [home.endpoint.id, 2900, 0]);
	});

	it('fetches from no engine that fails, is changing weights or has other weights', () => {
		// A fetch from a dead source delays the request by some hundred milliseconds.
		const first = choose(prompt('s1'))!;
		const {id} = first.endpoint;
		choice.placed(first, prompt('s1'));
		storedParts.applyPeerReport([':1 top', ':1 s1']);
		const source = () => choose(prompt('s1'), {excluded: new Set([id])})!.fetchFrom;
		presence.unreached(view.endpoint(id)!);
		assert.equal(source(), '10.9.0.1:80');
		presence.accepted(view.endpoint(id)!);
		assert.equal(source(), first.endpoint.address);
		versions.changing(id, 2);
		assert.equal(source(), '10.9.0.1:80');
		versions.seen(id, 2);
		assert.equal(source(), '10.9.0.1:80');
	});

	it('bounds the cost of fetching over a slow link by the time to compute the parts', () => {
		// Over a link a thousand times slower 3,800 tokens would take minutes to fetch,
		// and a tenth of a second to compute.
		const {document} = view.current()!;
		const slow = {...document, version: 2, cacheStores: [{...document.cacheStores[0], linkBytesPerMs: 39_000}]};
		storedParts.applyPeerReport([':1 top', ':1 s1']);
		const fast = choose(prompt('s1'))!;
		view.acceptDocument(slow);
		const late = choose(prompt('s1'))!;
		assert.isBelow(late.fetchMs, 6300 * loadTracker.msPerToken('e0') * 1.01);
		assert.isAbove(late.expectedMs, fast.expectedMs);
	});

	it('places no request with a long answer on an engine that drains soon, but still places short ones', () => {
		// An engine waits for its answers to end before it loads weights, and accepts no
		// requests meanwhile: an answer of 4 s makes it unavailable for 4 s more.
		const long = prompt('s1', {outputTokens: 800});
		const {id} = choose(long)!.endpoint;
		view.acceptWeights('m', 2, 0);
		versions.planned(id, 2, 1000);
		assert.notEqual(choose(long)!.endpoint.id, id);
		assert.equal(choose(prompt('s1', {outputTokens: 20}))!.endpoint.id, id);
		for (let index = 0; index < 8; index++) {
			versions.planned(`e${index}`, 2, 0);
		}

		assert.isDefined(choose(long));
		clock.tick(1500);
		assert.equal(choose(long)!.endpoint.id, id);
	});

	it('counts shared parts as missing when no engine has computed them under the same weights', () => {
		// Guards against all daemons choosing an engine that has just changed its weights.
		// All know that it is idle, but not what the others send to it; if a prompt also
		// seemed half cached there, it would be the best choice for each of them.
		storedParts.applyPeerReport([':1 top', ':1 s1']);
		assert.equal(choose(prompt('s1'))!.missingTokens, 2900);
		versions.seen(choose(prompt('s1'))!.endpoint.id, 2);
		for (let index = 0; index < 8; index++) {
			versions.seen(`e${index}`, 2);
		}

		assert.equal(choose(prompt('s1'))!.missingTokens, 9200);
		storedParts.applyPeerReport([':2 top']);
		assert.equal(choose(prompt('s1'))!.missingTokens, 6700);
	});

	it('keeps to its share of the connections that an endpoint accepts', () => {
		// Ten daemons share 100 connections. The endpoint resets further ones, and an
		// order on a reset connection may have run.
		for (const id of Array.from({length: 8}, (_item, index) => `e${index}`)) {
			for (let count = 0; count < 10; count++) {
				loadTracker.start(id, {missingTokens: 0, memoryTokens: 0, outputTokens: 0});
			}
		}

		assert.isUndefined(choose(undefined));
	});

	it('saves shared parts once for all daemons, and again after 20 s', () => {
		// Guards against repeated saves of the same parts, which take capacity of the
		// store's link from fetches.
		const send = (need: PromptNeed): string | undefined => {
			const chosen = choose(need)!;
			choice.placed(chosen, need);
			return chosen.saveTo;
		};

		assert.deepEqual([send(prompt('s1')), send(prompt('s1')), send(prompt('s2'))], ['10.9.0.1:80', undefined, '10.9.0.1:80']);
		assert.deepEqual(storedParts.takeUnreported(), [':1 top', ':1 s1', ':1 s2']);
		assert.isEmpty(storedParts.takeUnreported());
		storedParts.applyPeerReport([':1 s3']);
		assert.isUndefined(send(prompt('s3')));
		clock.tick(20_000);
		assert.equal(send(prompt('s1')), '10.9.0.1:80');
	});

	it('excludes engines that are leaving, are changing weights or have been tried', () => {
		for (let index = 0; index < 7; index++) {
			const id = `e${index}`;
			if (index < 3) {
				list(id, {isLeaving: true, reportNumber: 2});
			} else if (index < 5) {
				versions.changing(id, 2);
			}
		}

		assert.equal(choose(prompt('s1'), {excluded: new Set(['e5', 'e6'])})?.endpoint.id, 'e7');
		assert.isUndefined(choose(prompt('s1'), {excluded: new Set(['e5', 'e6', 'e7'])}));
	});

	it('excludes engines whose weights were replaced too long ago', () => {
		view.acceptWeights('m', 2, 0);
		versions.seen('e4', 2);
		clock.tick(7000);
		for (let subject = 0; subject < 20; subject++) {
			assert.equal(choose(prompt(`s${subject}`))?.endpoint.id, 'e4');
		}
	});

	it('excludes engines whose replaced weights would become too old while the request is queued', () => {
		view.acceptWeights('m', 2, 0);
		clock.tick(5000);
		for (let index = 0; index < 8; index++) {
			loadTracker.start(`e${index}`, {missingTokens: 60_000, memoryTokens: 100, outputTokens: 0});
		}

		versions.seen('e4', 2);
		for (let subject = 0; subject < 20; subject++) {
			assert.equal(choose(prompt(`s${subject}`))?.endpoint.id, 'e4');
		}
	});

	it('excludes weights of unknown age after the whole fleet has restarted', () => {
		view.acceptWeights('m', 5, Number.POSITIVE_INFINITY);
		versions.seen('e2', 3);
		assert.isUndefined(choose(prompt('s1')));
	});

	it('accepts replaced weights after a restart when the store reports that they were replaced recently', () => {
		view.acceptWeights('m', 5, Number.POSITIVE_INFINITY);
		view.restoreWeights('m', {version: 4, ageMs: 60_000, isDated: true});
		view.boundWeights('m', 5, 1000);
		versions.seen('e2', 4);
		assert.equal(choose(prompt('s1'))?.endpoint.id, 'e2');
		clock.tick(6000);
		assert.isUndefined(choose(prompt('s1')));
	});

	it('spreads prompts without shared parts over engines with equal estimates', () => {
		// Guards against daemons with the same information all choosing the first engine of the list.
		const used = new Set<string>();
		for (let count = 0; count < 100; count++) {
			used.add(choose(prompt('s1', {parts: [{id: 'own', tokens: 800}], promptTokens: 800}))!.endpoint.id);
		}

		assert.lengthOf(used, 8);
	});

	it('looks up few of many engines, so that a choice costs a small VM no more the larger the fleet is', () => {
		const engines = 2000;
		for (let index = 0; index < engines; index++) {
			list(`many${index}`);
		}

		let lookUps = 0;
		const {load} = loadTracker;
		loadTracker.load = endpoint => {
			lookUps++;
			return load(endpoint);
		};

		for (let index = 0; index < 20; index++) {
			assert.isDefined(choose(prompt(`s${index}`)));
		}

		// A tenth of them, for each of ten daemons, and the home of the prompt.
		assert.isAtMost(lookUps, 20 * ((engines / 10) + 3));
	});

	it('finds the only engine with a free slot, free memory and no overdue request', () => {
		// If neither of two sampled engines could begin at once, the prompt would wait.
		for (let index = 0; index < 7; index++) {
			const [count, memoryTokens] = [[64, 0], [1, 96_000], [1, 0]][index % 3];
			for (let started = 0; started < count; started++) {
				loadTracker.start(`e${index}`, {missingTokens: 0, memoryTokens, outputTokens: 0});
			}
		}

		clock.tick(4000);
		for (let subject = 0; subject < 100; subject++) {
			assert.equal(choose(prompt(`s${subject}`))!.endpoint.id, 'e7');
		}
	});

	it('avoids an engine that does not answer', () => {
		const chosen = choose(prompt('s1'))!;
		loadTracker.start(chosen.endpoint.id, {missingTokens: 100, memoryTokens: 100, outputTokens: 0});
		clock.tick(4000);
		assert.notEqual(choose(prompt('s1'))!.endpoint.id, chosen.endpoint.id);
	});

	it('includes the load that peers report', () => {
		const chosen = choose(prompt('s1'))!;
		loadTracker.applyPeerReport(reportOf('vm-2', {loads: [[chosen.endpoint.id, 6, 40_000, 60_000, 0]]}));
		assert.notEqual(choose(prompt('s1'))!.endpoint.id, chosen.endpoint.id);
	});

	describe('in two data centres', () => {
		const distance: RequestDistance = {
			targetMs: 815, leftMs: 815, rank: 0, bodyBytes: 9200,
		};

		/** Moves the engines with an odd number to another data centre. */
		beforeEach(() => {
			for (let index = 1; index < 8; index += 2) {
				list(`e${index}`, {dataCentre: 'b', address: '10.0.0.2:80', reportNumber: 2});
			}
		});

		const subjectsAway = (more: Partial<ChoiceRequest>): number => Array.from({length: 40}, (_item, index) => choose(prompt(`s${index}`), more)!)
			.filter(({endpoint}) => endpoint.dataCentre === 'b').length;

		const occupy = (ids: readonly string[], missingTokens: number, memoryTokens = 0): void => {
			for (const id of ids) {
				loadTracker.start(id, {missingTokens, memoryTokens, outputTokens: 0});
			}
		};

		const near = ['e0', 'e2', 'e4', 'e6'];
		const far = ['e1', 'e3', 'e5', 'e7'];

		it('keeps prompts in their own at calm times, each at the same engine', () => {
			// Guards against a home that only one data centre has.
			assert.equal(subjectsAway({distance}), 0);
			const homes = Array.from({length: 40}, (_item, index) => choose(prompt(`s${index}`), {distance})!.endpoint.id);
			assert.deepEqual(Array.from({length: 40}, (_item, index) => choose(prompt(`s${index}`), {distance})!.endpoint.id), homes);
			assert.sameMembers([...new Set(homes)], near);
		});

		it('places prompts as before without a target latency, and without sizes in the document', () => {
			// Guards against a change for deployments that gain nothing from it.
			assert.isAbove(subjectsAway({}), 10);
			const {document} = view.current()!;
			const {engine, ...service} = document.services.get('engines')!;
			view.acceptDocument({...document, version: 2, services: new Map([['engines', {...service, engine: {...engine!, tokenBytes: 0}}]])});
			assert.isAbove(subjectsAway({distance}), 0);
		});

		it('sends prompts away when they would be late, and tells why', () => {
			occupy(near, 30_000);
			const away = choose(prompt('s1'), {distance: {...distance, targetMs: 5000, leftMs: 400}})!;
			assert.include(far, away.endpoint.id);
			assert.equal(away.leaves, 'pressure');
			for (const id of near) {
				versions.changing(id, 2);
			}

			assert.equal(choose(prompt('s1'), {distance})!.leaves, 'none_eligible');
		});

		it('fetches shared parts from an engine of their own rather than from another that holds as much', () => {
			// Guards against 70 MB that are sent between data centres for nothing.
			const sendTo = (ids: readonly string[]): void => {
				const others = [...near, ...far].filter(id => !ids.includes(id));
				choice.placed(choose(prompt('s1'), {excluded: new Set(others)})!, prompt('s1'));
			};

			sendTo(['e1']);
			sendTo(['e0']);
			assert.equal(choose(prompt('s1'), {distance, excluded: new Set(['e0', 'e1'])})!.fetchFrom, '10.0.0.1:80');
		});

		it('keeps memory of the other data centre for its own callers of the highest rank', () => {
			occupy(near, 15_000);
			occupy(far, 0, 62_000);
			const highest = choose(prompt('s1'), {distance})!;
			const lower = choose(prompt('s1'), {distance: {...distance, rank: 2}})!;
			assert.include(far, highest.endpoint.id);
			assert.include(near, lower.endpoint.id);
		});

		it('takes no engine with new weights, and none that hangs, for pressure', () => {
			// Guards against requests that leave because of a figure that says nothing of the load.
			view.acceptWeights('m', 2, 0);
			for (let index = 0; index < 8; index++) {
				versions.seen(`e${index}`, 2);
			}

			occupy(['e0'], 100);
			clock.tick(10_000);
			assert.equal(subjectsAway({distance}), 0);
		});

		it('sends plain requests away only when all slots of their own are in use', () => {
			const plain = {
				distance: {
					...distance, targetMs: 199, leftMs: 199, bodyBytes: 500,
				},
			};
			occupy(near, 0);
			assert.include(near, choose(undefined, plain)!.endpoint.id);
			for (let count = 0; count < 100; count++) {
				occupy(near, 0);
			}

			assert.include(far, choose(undefined, plain)!.endpoint.id);
		});
	});
});
