import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createReservedCapacity, type ReservedCapacity} from '../../lib/admission/reserved-capacity.js';
import {ranksOf} from '../../lib/admission/service-ranks.js';
import {
	createFleetView, type FleetDocument, type FleetView, type LiveEndpoint, type Route,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';

const routeOf = (rank: number): Route => ({
	name: `r-${rank}`, host: 'h', prefix: `/${rank}/`, kind: 'stream', targets: [{service: 'engines', weight: 1}], timeoutMs: 5000, targetMs: 1000, targetPauseMs: 250,
	maxEndpoints: 1, rank, isPublic: false, isResumable: false, hasPromptParts: true,
});

const documentOf = (ranks: readonly number[], workspaceRanks: ReadonlyArray<number | undefined> = []): FleetDocument => ({
	version: 1,
	routes: ranks.map(rank => routeOf(rank)),
	services: new Map(),
	cacheStores: [],
	workspaces: workspaceRanks.map((rank, index) => ({
		name: `w${index}`, keyDigests: [], rank, isIsolated: false, rate: 0, burst: 0, countsTokens: false, defaultUnits: 1,
	})),
	limits: {
		bodyBytes: 1, headerBytes: 1, headerMs: 1, idleMs: 1,
	},
});

/** The accepted form of a document. */
function accept(document: FleetDocument): ReturnType<FleetView['current']> {
	const view = createFleetView(createSilentLog());
	view.acceptDocument(document);
	const accepted = view.current();
	return accepted && {...accepted, document};
}

const endpoint: LiveEndpoint = {
	id: 'e1', service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 10, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map(),
};

describe('createReservedCapacity', () => {
	let clock: FakeTimers.Clock;
	let running: number;
	let document: FleetDocument;
	let reserved: ReservedCapacity;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
		running = 0;
		document = documentOf([0, 1, 2]);
		reserved = createReservedCapacity({
			view: {current: () => accept(document), endpointsOf: () => [endpoint], memoryTokens: () => undefined},
			loadTracker: {
				load: () => ({
					running, pendingTokens: 0, memoryTokens: 0, oldestWaitMs: 0, remainingMs: 0,
				}),
				msPerToken: () => 0.03,
			},
			correction: {ratio: () => 1},
			log: createSilentLog(),
		});
		for (const rank of [0, 1, 2]) {
			reserved.started('engines', rank);
		}
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Ranks that may fill the endpoint further while it runs this many requests. */
	const mayFill = (count: number): number[] => {
		running = count;
		clock.tick(1000);
		return [0, 1, 2].filter(rank => reserved.mayFill(endpoint, rank));
	};

	it('lets all ranks fill the endpoints while there is no shortage', () => {
		assert.deepEqual(mayFill(5), [0, 1, 2]);
	});

	it('reserves more of an endpoint the more urgent a rank is, until the shortage is over', () => {
		// Guards against patient requests that fill the slots before urgent ones arrive.
		assert.deepEqual(mayFill(6), [0, 1]);
		assert.deepEqual(mayFill(8), [0]);
		assert.deepEqual(mayFill(10), []);
		assert.deepEqual(mayFill(5), [0, 1], 'still short: reserved until the fill is clearly lower');
		assert.deepEqual(mayFill(3), [0, 1, 2]);
		assert.deepEqual(mayFill(5), [0, 1, 2]);
	});

	it('leaves each rank a minimum share, which no other rank takes', () => {
		// Guards against a rank that gets nothing while more urgent ones fill the service.
		assert.deepEqual(mayFill(10), []);
		const starved = reserved.started('engines', 2);
		starved();
		for (let count = 0; count < 40; count++) {
			reserved.started('engines', 0);
		}

		assert.isTrue(reserved.isBelowShare('engines', 2));
		assert.deepEqual(mayFill(10), [1, 2]);
		assert.deepEqual(mayFill(12), []);
	});

	it('reserves nothing where all requests have the same rank', () => {
		document = documentOf([1, 1]);
		assert.deepEqual(mayFill(12), [0, 1, 2]);
		document = documentOf([1, 1], [1, undefined]);
		assert.deepEqual(mayFill(12), [0, 1, 2]);
	});

	it('takes the ranks of workspaces in place of those of routes', () => {
		assert.deepEqual(ranksOf('engines', documentOf([1, 2], [3, 0])).ranks, [0, 3]);
		assert.deepEqual(ranksOf('engines', documentOf([1, 2], [3, undefined])).ranks, [1, 2, 3]);
		assert.deepEqual(ranksOf('other', documentOf([1, 2], [3, undefined])).ranks, []);
	});
});
