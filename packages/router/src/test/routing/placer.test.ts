import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type EngineLoad, type Outcome, type PlacementRequest} from '../../gateway.js';
import {
	createPlacer, PlacementSnapshotError, type LearningPlacer, type PlacementEndpoint,
} from '../../routing.js';

const endpoints: PlacementEndpoint[] = Array.from({length: 13}, (_, index) => ({
	name: `ws-${index + 1}`, service: 'wordsmith', dataCentre: 'hobart-a', usable: true,
}));

const requestFor = (pieces: readonly bigint[], change: Partial<PlacementRequest> = {}): PlacementRequest => ({
	service: 'wordsmith', workspace: 'school-1', version: 'w1', adapter: '', pieces,
	promptTokens: (pieces.length * 1024) + 100, maxOutputTokens: 100, excluded: new Set(), ...change,
});

const idle: EngineLoad = {
	incarnation: 'p1', version: 'w1', running: 1, waiting: 0, pendingPromptTokens: 0,
};

const openPlacer = (list = endpoints, options = {}): LearningPlacer => {
	const placer = createPlacer({random: () => 0.5, ...options});
	placer.setEndpoints(list);
	return placer;
};

/** Places a request and answers it immediately; returns its endpoint. */
const serve = (placer: LearningPlacer, request: PlacementRequest, outcome: Partial<Outcome> = {}): string => {
	const placement = placer.place(request)!;
	placer.started(request, placement);
	placer.finished(request, placement, {
		endpoint: placement.endpoint, result: 'answered', load: idle, promptTokens: request.promptTokens,
		cachedTokens: placement.expectedCachedTokens, outputTokens: 10, firstTokenMs: 100, ...outcome,
	});
	return placement.endpoint;
};

const pieces = (first: number, count: number): bigint[] => Array.from({length: count}, (_, index) => BigInt.asUintN(64, (BigInt(first) * 0x9E_37_79_B9_7F_4A_7C_15n) + BigInt(index)));

describe('placer', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'Date']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('sends prompts with a common prefix to the endpoint that has it cached', () => {
		const placer = openPlacer();
		const preamble = pieces(1, 4);
		const home = serve(placer, requestFor([...preamble, 11n]));
		const placement = placer.place(requestFor([...preamble, 12n]))!;
		assert.equal(placement.endpoint, home);
		assert.equal(placement.expectedCachedTokens, 4 * 1024);
	});

	/*
	 * If the order of homes depended on learned state, a restarted router would send
	 * prompts to other endpoints than its peers do, and they would be recomputed.
	 */
	it('places as its peers do after a restart, whatever the order of the endpoint list', () => {
		for (let prompt = 1; prompt <= 50; prompt++) {
			const request = requestFor(pieces(prompt, 6));
			const peer = openPlacer(endpoints, {random: () => 0.1}).place(request);
			const restarted = openPlacer(endpoints.toReversed(), {random: () => 0.9}).place(request);
			assert.equal(restarted!.endpoint, peer!.endpoint);
		}
	});

	/*
	 * A restarted router that doesn't know that a prefix is hot would give it one
	 * home where its peers have several, so that requests queue at one engine. Each
	 * router has seen different requests.
	 */
	it('places prompts that extend a hot prefix as its peers do after restoring a peer\'s snapshot', () => {
		const preamble = pieces(1, 4);
		const feed = (placer: LearningPlacer, from: number): void => {
			for (let child = from; child < from + 60; child++) {
				serve(placer, requestFor(child % 2 === 0 ? [...preamble, ...pieces(500 + (child % 12), 2), BigInt(child)] : pieces(10_000 + child, 4)));
				clock.tick(50);
			}
		};

		const [peer, other] = [openPlacer(), openPlacer()];
		feed(peer, 1000);
		feed(other, 2000);
		const restarted = openPlacer();
		restarted.restore(peer.snapshot(500));
		const used = new Set<string>();
		const differing = {other: 0, restarted: 0};
		for (let house = 0; house < 40; house++) {
			const request = requestFor([...preamble, ...pieces(900 + house, 2)]);
			const {endpoint} = peer.place(request)!;
			used.add(endpoint);
			differing.other += other.place(request)!.endpoint === endpoint ? 0 : 1;
			differing.restarted += restarted.place(request)!.endpoint === endpoint ? 0 : 1;
		}

		assert.isAtLeast(used.size, 3);
		assert.equal(differing.restarted, 0);
		assert.isAtMost(differing.other, 4);
	});

	it('ignores homes in a snapshot whose engine has restarted since, and rejects content that is not a snapshot', () => {
		const peer = openPlacer();
		const request = requestFor(pieces(1, 4));
		const home = serve(peer, request);
		const restarted = openPlacer();
		restarted.observe(home, {...idle, incarnation: 'p2'});
		restarted.restore(peer.snapshot(100));
		assert.equal(restarted.place(request)!.expectedCachedTokens, 0);
		assert.throws(() => {
			restarted.restore(new TextEncoder().encode('{"layout":1}'));
		}, PlacementSnapshotError);
	});

	/*
	 * An engine crashes, losing its cache, and returns at its old address as a new
	 * process; then a late report of the old process arrives. Neither may make the
	 * lost cache count as present.
	 */
	it('forgets the cache of a crashed engine, and ignores late reports of its old process', () => {
		const placer = openPlacer();
		const request = requestFor(pieces(1, 4));
		const home = serve(placer, request);
		assert.isAbove(placer.place(request)!.expectedCachedTokens, 0);
		placer.observe(home, {...idle, incarnation: 'p2'});
		assert.equal(placer.place(request)!.expectedCachedTokens, 0);
		placer.observe(home, {...idle, incarnation: 'p1'});
		clock.tick(60_000);
		const placement = placer.place(request)!;
		assert.equal(placement.endpoint, home);
		assert.equal(placement.incarnation, 'p2');
		assert.equal(placement.expectedCachedTokens, 0);
	});

	/*
	 * An endpoint that is still on the old weights version, or went back to it, and
	 * is a home of the prompt would answer with the wrong version.
	 */
	it('uses no endpoint known to run another version, and forgets its cache when the version changes', () => {
		const placer = openPlacer();
		const request = requestFor(pieces(1, 4));
		const home = serve(placer, request);
		placer.observe(home, {...idle, version: 'w0'});
		assert.notEqual(placer.place(request)!.endpoint, home);
		placer.observe(home, idle);
		clock.tick(60_000);
		assert.equal(placer.place(requestFor(request.pieces, {excluded: new Set(endpoints.map(({name}) => name).filter(name => name !== home))}))!.expectedCachedTokens, 0);
		for (const {name} of endpoints) {
			placer.observe(name, {...idle, version: 'w0'});
		}

		assert.isUndefined(placer.place(request));
	});

	it('places nothing at leaving or excluded endpoints', () => {
		const placer = openPlacer();
		const request = requestFor(pieces(1, 4));
		const home = serve(placer, request);
		assert.notEqual(placer.place(requestFor(request.pieces, {excluded: new Set([home])}))!.endpoint, home);
		placer.setEndpoints(endpoints.map(endpoint => ({...endpoint, usable: endpoint.name !== home})));
		assert.notEqual(placer.place(request)!.endpoint, home);
		placer.setEndpoints(endpoints.map(endpoint => ({...endpoint, usable: false})));
		assert.isUndefined(placer.place(request));
	});

	/*
	 * If all requests with a hot prefix went to its one home, they would queue there
	 * while other engines idle. Local requests that no load report includes yet must
	 * count, or the spread begins one report too late.
	 */
	for (const [by, options, most] of [['its share of requests', {}, 30], ['local requests alone', {homeHeadroom: 0}, 40]] as const) {
		it(`spreads a hot prefix over several homes, by ${by}`, () => {
			const placer = openPlacer(endpoints, options);
			const used = new Map<string, number>();
			for (let child = 0; child < 60; child++) {
				const request = requestFor([...pieces(1, 4), ...pieces(100 + child, 2)]);
				const placement = placer.place(request)!;
				placer.started(request, placement);
				used.set(placement.endpoint, (used.get(placement.endpoint) ?? 0) + 1);
			}

			assert.isAtLeast(used.size, 3);
			assert.isAtMost(Math.max(...used.values()), most);
		});
	}

	it('uses a load report until it expires', () => {
		const placer = openPlacer();
		const request = requestFor(pieces(1, 2));
		const home = serve(placer, request);
		placer.observe(home, {...idle, pendingPromptTokens: 10_000_000});
		assert.equal(placer.place(request)!.endpoint, home, 'a delayed report is older than the load from the answer before it');
		clock.tick(400);
		placer.observe(home, {...idle, pendingPromptTokens: 10_000_000});
		assert.notEqual(placer.place(request)!.endpoint, home);
		clock.tick(6000);
		assert.equal(placer.place(request)!.endpoint, home);
	});

	/*
	 * An engine with a long queue sends no answers, hence no load with them, and load
	 * reports may be lost. Overdue local requests are then the only evidence of its
	 * queue; ignoring it would let requests wait there while other engines idle.
	 */
	it('treats an overdue answer as evidence of a long queue', () => {
		const placer = openPlacer();
		const request = requestFor(pieces(1, 2));
		const home = serve(placer, request);
		const placement = placer.place(request)!;
		placer.started(request, placement);
		clock.tick(100);
		assert.equal(placer.place(request)!.endpoint, home);
		clock.tick(9900);
		assert.notEqual(placer.place(request)!.endpoint, home);
	});

	/*
	 * An engine that has just restarted reports no load, so that all routers would
	 * send it everything at once and requests would queue there.
	 */
	it('limits requests to a new engine process (slow start)', () => {
		const placer = openPlacer();
		for (const {name} of endpoints) {
			placer.observe(name, {...idle, pendingPromptTokens: 100_000_000});
		}

		placer.observe('ws-1', {...idle, incarnation: 'p2'});
		let sent = 0;
		for (let prompt = 0; prompt < 30; prompt++) {
			const request = requestFor(pieces(prompt, 1), {excluded: new Set(['ws-2'])});
			const placement = placer.place(request)!;
			placer.started(request, placement);
			sent += placement.endpoint === 'ws-1' ? 1 : 0;
		}

		assert.isAtMost(sent, 2);
	});

	it('uses the piece size in force, even if endpoints were set before it changed', () => {
		let pieceTokens = 1;
		const placer = openPlacer(endpoints, {pieceTokensOf: () => pieceTokens});
		const request = requestFor(pieces(1, 4));
		pieceTokens = 1024;
		serve(placer, request);
		assert.equal(placer.place(request)!.expectedCachedTokens, 4 * 1024);
	});

	it('ignores cache events of processes other than the current one', () => {
		const placer = openPlacer();
		const request = requestFor(pieces(1, 4));
		const home = serve(placer, request);
		placer.evicted(home, 'p0', request.pieces);
		assert.isAbove(placer.place(request)!.expectedCachedTokens, 0);
		placer.evicted(home, 'p1', request.pieces);
		assert.equal(placer.place(request)!.expectedCachedTokens, 0);
	});

	it('remembers no more prefixes than its limit', () => {
		const placer = openPlacer(endpoints, {rememberedPrefixes: 100});
		for (let prompt = 0; prompt < 200; prompt++) {
			serve(placer, requestFor(pieces(prompt, 6)));
		}

		assert.equal(placer.rememberedPrefixes(), 100);
	});

	it('ejects failing endpoints, up to the maximum share', () => {
		const placer = openPlacer(endpoints, {health: {maxEjectedShare: 0.3}});
		for (let round = 0; round < 200; round++) {
			serve(placer, requestFor(pieces(round, 1)), {result: 'failed', load: undefined});
		}

		assert.lengthOf(placer.ejectedOf('wordsmith'), 3);
		assert.isDefined(placer.place(requestFor(pieces(1, 1))));
	});
});
