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

/** Places a request and answers it at once; returns where it went. */
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

	it('sends prompts that share a preamble where it is cached', () => {
		const placer = openPlacer();
		const preamble = pieces(1, 4);
		const home = serve(placer, requestFor([...preamble, 11n]));
		const placement = placer.place(requestFor([...preamble, 12n]))!;
		assert.equal(placement.endpoint, home);
		assert.equal(placement.expectedCachedTokens, 4 * 1024);
	});

	/*
	 * A caller waits for its whole prompt to be computed anew after a router
	 * restarted: the new process, knowing nothing, sends the prompt elsewhere
	 * than its peers have. Home order must not need anything learned.
	 */
	it('places after a restart, and for any order of the list, as its peers do', () => {
		for (let prompt = 1; prompt <= 50; prompt++) {
			const request = requestFor(pieces(prompt, 6));
			const peer = openPlacer(endpoints, {random: () => 0.1}).place(request);
			const restarted = openPlacer(endpoints.toReversed(), {random: () => 0.9}).place(request);
			assert.equal(restarted!.endpoint, peer!.endpoint);
		}
	});

	/*
	 * Callers of a large school wait in one engine's queue after a router has
	 * restarted: it doesn't know that the preamble is hot, and gives it one home
	 * where its peers have several. Each router has seen other requests.
	 */
	it('places the houses of a hot preamble as its peers do, after a restart from a peer\'s snapshot', () => {
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

	it('takes no home from a snapshot whose engine is another process by now, and no text that is no snapshot', () => {
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
	 * A caller would be promised cached work that a crash has wiped out. The
	 * engine comes back under its old address as another process; then a report
	 * that its old process had sent arrives late.
	 */
	it('forgets what a crashed engine had cached, and ignores late news of its old process', () => {
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
	 * A caller would get an answer of older weights. An endpoint is still on the
	 * old version, or went back to it, and has the prompt's home.
	 */
	it('uses no endpoint known to run another version, and forgets its cache with the version', () => {
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

	it('gives a leaving endpoint nothing new, and an excluded one nothing again', () => {
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
	 * Every caller of a large school waits in one engine's queue while others
	 * idle: its preamble has one home, and all go there. Own starts that are not
	 * yet in any report must count, or the spread begins a report too late.
	 */
	for (const [by, options, most] of [['its share', {}, 30], ['own starts alone', {homeHeadroom: 0}, 40]] as const) {
		it(`gives a hot preamble more homes instead of a queue, by ${by}`, () => {
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

	it('goes by a load report until it is too old', () => {
		const placer = openPlacer();
		const request = requestFor(pieces(1, 2));
		const home = serve(placer, request);
		placer.observe(home, {...idle, pendingPromptTokens: 10_000_000});
		assert.equal(placer.place(request)!.endpoint, home, 'a report that lags is older than the answer before it');
		clock.tick(400);
		placer.observe(home, {...idle, pendingPromptTokens: 10_000_000});
		assert.notEqual(placer.place(request)!.endpoint, home);
		clock.tick(6000);
		assert.equal(placer.place(request)!.endpoint, home);
	});

	/*
	 * Callers wait for long in one engine while others idle: it has so much to do
	 * that it gives no answers, hence no news of its load, and load reports are
	 * lost. That own requests are overdue is the only news.
	 */
	it('takes a late answer as news of a long queue', () => {
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
	 * Callers wait behind a crowd in an engine that has just come back: empty, it
	 * reports no load, so every router sends it everything at once.
	 */
	it('starts a new process of an engine slowly', () => {
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

	it('goes by the piece size in force, also when endpoints were set before it changed', () => {
		let pieceTokens = 1;
		const placer = openPlacer(endpoints, {pieceTokensOf: () => pieceTokens});
		const request = requestFor(pieces(1, 4));
		pieceTokens = 1024;
		serve(placer, request);
		assert.equal(placer.place(request)!.expectedCachedTokens, 4 * 1024);
	});

	it('believes cache events of the present process only', () => {
		const placer = openPlacer();
		const request = requestFor(pieces(1, 4));
		const home = serve(placer, request);
		placer.evicted(home, 'p0', request.pieces);
		assert.isAbove(placer.place(request)!.expectedCachedTokens, 0);
		placer.evicted(home, 'p1', request.pieces);
		assert.equal(placer.place(request)!.expectedCachedTokens, 0);
	});

	it('remembers no more prefixes than its bound', () => {
		const placer = openPlacer(endpoints, {rememberedPrefixes: 100});
		for (let prompt = 0; prompt < 200; prompt++) {
			serve(placer, requestFor(pieces(prompt, 6)));
		}

		assert.equal(placer.rememberedPrefixes(), 100);
	});

	it('keeps out an endpoint that fails, and no more of them than a share', () => {
		const placer = openPlacer(endpoints, {health: {maxEjectedShare: 0.3}});
		for (let round = 0; round < 200; round++) {
			serve(placer, requestFor(pieces(round, 1)), {result: 'failed', load: undefined});
		}

		assert.lengthOf(placer.ejectedOf('wordsmith'), 3);
		assert.isDefined(placer.place(requestFor(pieces(1, 1))));
	});
});
