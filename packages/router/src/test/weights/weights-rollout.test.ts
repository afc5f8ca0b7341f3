import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {
	createEndpointPresence, createFleetView, type FleetView, type LiveEndpoint,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {
	createEngineVersions, createWeightsRollout, type EngineVersions, type RunPolicy, type WeightsControl, type WeightsRollout,
} from '../../weights.js';
import {collectUncaught} from '../collect-uncaught.js';
import {engineDocument} from './engine-document.js';

/** Simulated engines that accept every order and then load weights. */
type Engines = {
	control: WeightsControl;
	versions: Map<string, number>;
	/** Orders by arrival: time in milliseconds, engine, version, fencing token. */
	orders: Array<[at: number, id: string, version: number, fencing: number]>;
	maxChanging: number;
	/** Time at which an engine's last run ends; it loads weights only afterwards. */
	runsUntil: Map<string, number>;
	/** Number of queued requests that each engine reports. */
	waiting: number;
	/** Engines that don't answer. */
	silent: Set<string>;
	/** What becomes of each engine's running requests by its latest order. */
	runsAtOrders: Map<string, RunPolicy>;
	/** Engine of each call for the state, by arrival. */
	stateCalls: string[];
};

const loadMs = 700;

function createEngines(ids: readonly string[]): Engines {
	const versions = new Map(ids.map(id => [id, 1]));
	const changing = new Set<string>();
	const taken = new Map<string, number>();
	const engines: Engines = {
		versions,
		orders: [],
		maxChanging: 0,
		runsUntil: new Map(),
		waiting: 0,
		silent: new Set(),
		runsAtOrders: new Map(),
		stateCalls: [],
		control: {
			async state({id}) {
				engines.stateCalls.push(id);
				if (engines.silent.has(id)) {
					throw new Error('No answer.');
				}

				return {
					weights: new Map([['m', versions.get(id)!]]), waiting: engines.waiting, running: Number(performance.now() < (engines.runsUntil.get(id) ?? 0)),
					isChanging: changing.has(id), ordersTaken: taken.get(id) ?? 0,
				};
			},
			async order({id}, {version, fencing, runs}) {
				engines.orders.push([Math.round(performance.now()), id, version, fencing]);
				engines.runsAtOrders.set(id, runs);
				changing.add(id);
				taken.set(id, (taken.get(id) ?? 0) + 1);
				engines.maxChanging = Math.max(engines.maxChanging, changing.size);
				setTimeout(() => {
					changing.delete(id);
					versions.set(id, version);
				}, loadMs + (runs === 'continue' ? 0 : Math.max(0, (engines.runsUntil.get(id) ?? 0) - performance.now())));
				return 'accepted';
			},
		},
	};
	return engines;
}

describe('createWeightsRollout', () => {
	const ids = Array.from({length: 12}, (_item, index) => `e${index}`);
	let clock: FakeTimers.Clock;
	let view: FleetView;
	let engines: Engines;
	let versions: EngineVersions;
	let fencing: number | undefined;
	let rollout: WeightsRollout;
	let timer: NodeJS.Timeout;
	/** Expected milliseconds until the last request in flight ends, by engine. */
	let remainingMs: Map<string, number>;
	/** Minimum milliseconds between two requests to an engine with a rate limit, by engine. */
	let minRequestIntervalMs: Map<string, number>;
	/** Engines at which daemons know of requests that haven't begun. */
	let unstarted: Set<string>;
	/** Queues that engines reported last before their orders. */
	let queuesAtOrders: number[];
	/** Engines that only other daemons reach. */
	let outOfReach: Set<string>;
	let handOvers: number;

	const createRollout = (): WeightsRollout => createWeightsRollout({
		name: 'vm-1',
		view,
		versions,
		control: engines.control,
		held: () => fencing === undefined ? undefined : {duty: 'weights', fencing, msLeft: 1000},
		handoverMs: 3200,
		announce: () => undefined,
		weightsMs: 8000,
		remainingMs: id => remainingMs.get(id) ?? 0,
		minRequestIntervalMs: ({id}) => minRequestIntervalMs.get(id),
		hasRequests: id => performance.now() < (engines.runsUntil.get(id) ?? 0),
		onDrained(_service, _drainMs, waiting) {
			queuesAtOrders.push(waiting);
		},
		hasUnstarted: id => unstarted.has(id),
		isOutOfReach: ({id}) => outOfReach.has(id),
		handOver() {
			handOvers++;
			fencing = undefined;
		},
		presence: createEndpointPresence(createSilentLog()),
		log: createSilentLog(),
	});

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
		view = createFleetView(createSilentLog());
		const endpoint = (id: string): LiveEndpoint => ({
			id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
		});
		for (const id of ids) {
			view.acceptEndpoint(endpoint(id));
		}

		view.acceptDocument(engineDocument);
		engines = createEngines(ids);
		versions = createEngineVersions();
		fencing = 1;
		remainingMs = new Map();
		minRequestIntervalMs = new Map();
		unstarted = new Set();
		queuesAtOrders = [];
		outOfReach = new Set();
		handOvers = 0;
		rollout = createRollout();
		timer = setInterval(() => {
			rollout.tick();
		}, 100);
	});

	afterEach(() => {
		clearInterval(timer);
		clock.uninstall();
	});

	it('changes the engines within its reach, then hands the duty over', async () => {
		// Guards against weights that stay old because the daemon that gives the orders has no path to the engines.
		for (const id of ids.slice(4)) {
			outOfReach.add(id);
			engines.silent.add(id);
		}

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(5000);
		assert.deepEqual([...engines.versions.values()], ids.map((_id, index) => index < 4 ? 2 : 1));
		assert.equal(handOvers, 1);
		for (const id of outOfReach) {
			engines.silent.delete(id);
		}

		outOfReach.clear();
		fencing = 2;
		await clock.tickAsync(10_000);
		assert.deepEqual([...engines.versions.values()], ids.map(() => 2));
	});

	it('updates all engines to the named weights, at most a third of them at a time', async () => {
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(5000);
		assert.deepEqual([...engines.versions.values()], ids.map(() => 2));
		assert.lengthOf(engines.orders, ids.length);
		assert.isAtMost(engines.maxChanging, ids.length / 3);
	});

	it('polls an engine with a rate limit no more often than the limit allows', async () => {
		// Guards against polls that use up the limit of an overloaded engine.
		engines.waiting = 3;
		minRequestIntervalMs.set('e0', 1250);
		remainingMs.set('e0', 0);
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(5000);
		assert.isAtMost(engines.stateCalls.filter(id => id === 'e0').length, 5);
		assert.equal(engines.versions.get('e0'), 2);
	});

	it('starts the change of an engine again after it ended with an error', async () => {
		// Guards against engines that keep their weights, and count as changing, until another daemon has the duty.
		const uncaught = collectUncaught();
		const get = minRequestIntervalMs.get.bind(minRequestIntervalMs);
		let failures = 3;
		minRequestIntervalMs.get = id => {
			if (failures > 0) {
				failures--;
				throw new Error('Thrown by a test.');
			}

			return get(id);
		};

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(8000);
		clock.uninstall();
		await uncaught.restore();
		assert.lengthOf(uncaught.errors, 3);
		assert.deepEqual(new Set(engines.versions.values()), new Set([2]));
	});

	it('orders an engine only once its queue is empty, or the wait for it is over', async () => {
		// An engine rejects all queued requests when it is ordered, and some of them may
		// not be sent to a second engine. So it first gets no new requests until its queue
		// is empty, and is ordered then; the wait for a queue that doesn't empty is limited.
		engines.waiting = 3;
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(500);
		assert.lengthOf(engines.orders, 0);
		assert.isTrue(versions.of(view.endpoint('e0')!, 'm').isChanging);
		engines.waiting = 0;
		await clock.tickAsync(300);
		assert.lengthOf(engines.orders, ids.length / 3);
		engines.waiting = 3;
		await clock.tickAsync(5000);
		assert.lengthOf(engines.orders, ids.length);
	});

	it('orders no engine while a daemon knows of a request there that hasn\'t begun, for a moment', async () => {
		// Guards against requests that are rejected because the engine's report of its queue is older than their
		// arrival. An answer without events begins for its daemon only when it is complete, so the wait is short.
		unstarted.add('e0');
		for (const id of ids.slice(1)) {
			versions.seen(id, 2);
			engines.versions.set(id, 2);
		}

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(700);
		assert.lengthOf(engines.orders, 0);
		await clock.tickAsync(500);
		assert.lengthOf(engines.orders, 1);
	});

	it('lets a queue empty for longer where more time is left', async () => {
		// Guards against requests that are rejected after a fixed wait although the bounds leave time.
		engines.waiting = 3;
		for (const id of ids.slice(1)) {
			versions.seen(id, 2);
			engines.versions.set(id, 2);
		}

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(4000);
		assert.lengthOf(engines.orders, 0);
		assert.isBelow(versions.orderInMs('e0'), 1000);
		await clock.tickAsync(1000);
		assert.lengthOf(engines.orders, 1);
	});

	it('keeps requests away from an engine as long as its change takes', async () => {
		// Guards against requests that an engine rejects because daemons forget of its load after some seconds.
		engines.runsUntil.set('e0', 7000);
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(6500);
		assert.equal(engines.versions.get('e0'), 1);
		assert.isTrue(versions.of(view.endpoint('e0')!, 'm').isChanging);
	});

	it('keeps two thirds of the live engines in service when others have crashed', async () => {
		// Four of twelve engines are listed but gone. Changing a third of the list would
		// leave four engines for all callers.
		for (const id of ids.slice(0, 4)) {
			engines.silent.add(id);
		}

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(6500);
		assert.lengthOf(engines.orders, 8);
		assert.isAtMost(engines.maxChanging, 2);
	});

	it('gives no order without the lease', async () => {
		fencing = undefined;
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(4000);
		assert.lengthOf(engines.orders, 0);
	});

	it('orders no engine that another daemon has just ordered', async () => {
		// The previous lease holder was cut off a second after it had ordered an engine to
		// change. Engines that don't check fencing tokens obey both, so this daemon doesn't
		// order that engine until the handover time has passed, and orders the others.
		fencing = 2;
		rollout = createRollout();
		await clock.tickAsync(4000);
		rollout.recordPeerOrder('e3', 1000);
		const heardAt = performance.now();
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(4000);
		const [at] = engines.orders.find(([, id]) => id === 'e3')!;
		assert.isAtLeast(at - heardAt, 2200);
		assert.isBelow(engines.orders[0][0] - heardAt, 500);
	});

	it('waits after its start, because it can\'t know the last orders', async () => {
		// All daemons are killed and restarted. The new lease holder received no report of
		// the orders that the previous one gave just before.
		fencing = 2;
		rollout = createRollout();
		const startedAt = performance.now();
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(5000);
		assert.isAtLeast(engines.orders[0][0] - startedAt, 3200);
	});

	it('changes engines with unusable weights first, and no more at a time', async () => {
		// There was no lease holder for seconds, and half of the engines have weights on
		// which no request may begin. Loads share the rate of the weight store: all at once
		// they would end no sooner, and would delay the loads that began before them.
		fencing = undefined;
		view.acceptWeights('m', 2, 0);
		for (const id of ids.slice(6)) {
			versions.seen(id, 2);
			engines.versions.set(id, 2);
		}

		await clock.tickAsync(4000);
		view.acceptWeights('m', 3, 0);
		await clock.tickAsync(2000);
		fencing = 1;
		await clock.tickAsync(5000);
		assert.deepEqual([...engines.versions.values()], ids.map(() => 3));
		assert.sameMembers(engines.orders.slice(0, 6).map(([, id]) => id), ids.slice(0, 6));
		assert.isAtMost(engines.maxChanging, ids.length / 3);
	});

	it('tells how many engines wait and change, and which queues outlasted their drains', async () => {
		// Guards against operators who can't tell a rollout that waits for queues from one that stands still.
		assert.deepEqual(rollout.counts(), {waiting: 0, changing: 0});
		engines.waiting = 3;
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(450);
		assert.deepEqual(rollout.counts(), {waiting: 8, changing: 4});
		await clock.tickAsync(1000);
		assert.deepEqual(queuesAtOrders, [3, 3, 3, 3]);
		engines.waiting = 0;
		await clock.tickAsync(5000);
		assert.deepEqual(rollout.counts(), {waiting: 0, changing: 0});
		assert.deepEqual(queuesAtOrders.slice(4), ids.slice(4).map(() => 0));
	});

	it('orders an engine that it drains to change to the newest weights, without a new drain', async () => {
		// Guards against engines that load superseded weights, and against drains that begin anew with each naming.
		engines.waiting = 3;
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(450);
		view.acceptWeights('m', 3, 0);
		engines.waiting = 0;
		await clock.tickAsync(150);
		assert.deepEqual(engines.orders.map(order => order[2]), [3, 3, 3, 3]);
		await clock.tickAsync(6000);
		assert.lengthOf(engines.orders, ids.length);
	});

	it('changes engines with the oldest weights before those that have just loaded superseded ones', async () => {
		// Guards against engines that keep replaced weights for longer with each further naming.
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(350);
		const first = engines.orders.map(([, id]) => id);
		view.acceptWeights('m', 3, 0);
		await clock.tickAsync(8000);
		const next = engines.orders.slice(first.length);
		assert.lengthOf(next, ids.length);
		assert.sameMembers(next.slice(-first.length).map(([, id]) => id), first);
		assert.deepEqual(next.map(order => order[2]), ids.map(() => 3));
	});

	it('counts engines that carry out an earlier order as changing', async () => {
		// New weights are named while a third of the engines load the previous ones. These
		// engines finish their loads and serve no requests until then; changing as many
		// others too would leave a third of the engines for all callers.
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(350);
		assert.lengthOf(engines.orders, ids.length / 3);
		for (const [, id] of engines.orders) {
			// They still finish running requests, so that other engines are preferred.
			remainingMs.set(id, 200);
		}

		view.acceptWeights('m', 3, 0);
		await clock.tickAsync(600);
		assert.isAtMost(engines.maxChanging, ids.length / 3);
		await clock.tickAsync(6000);
		assert.deepEqual([...engines.versions.values()], ids.map(() => 3));
		assert.isAtMost(engines.maxChanging, ids.length / 3);
	});

	it('orders an engine only once though its reported state lags behind', async () => {
		// The reported state of an engine is some hundred milliseconds old: it doesn't show
		// an order that the engine has just accepted.
		const {state} = engines.control;
		const told = new Map<string, Array<{at: number; state: Awaited<ReturnType<typeof state>>}>>();
		engines.control.state = async endpoint => {
			const list = told.get(endpoint.id) ?? [];
			told.set(endpoint.id, [...list, {at: performance.now(), state: await state(endpoint)}]);
			return (told.get(endpoint.id)!.findLast(item => performance.now() - item.at >= 200) ?? told.get(endpoint.id)![0]).state;
		};

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(6000);
		assert.deepEqual([...engines.versions.values()], ids.map(() => 2));
		assert.lengthOf(engines.orders, ids.length);
	});

	it('keeps sending short requests to an engine whose long requests it waits for, and no further long ones', async () => {
		// An engine finishes its running requests before it loads, and takes no others
		// meanwhile. So its requests of some seconds end first; then it is ordered, and is
		// out of service for the load alone.
		remainingMs.set('e0', 1200);
		for (const id of ids.slice(1)) {
			versions.seen(id, 2);
			engines.versions.set(id, 2);
		}

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(1000);
		assert.lengthOf(engines.orders, 0);
		assert.deepInclude(versions.of(view.endpoint('e0')!, 'm'), {isChanging: false, dueInMs: 0});
		remainingMs.set('e0', 200);
		await clock.tickAsync(600);
		assert.lengthOf(engines.orders, 1);
	});

	it('changes the other engines while some wait for requests that take far longer than expected', async () => {
		// Guards against slow engines that hold up the whole rollout beyond the bound for it.
		for (const id of ids.slice(0, 4)) {
			engines.runsUntil.set(id, 8400);
		}

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(11_000);
		assert.deepEqual([...engines.versions.values()], ids.map(() => 2));
	});

	it('has engines load beside requests that would outlast the bound', async () => {
		// Guards against engines that keep replaced weights because requests run on them for long, and against orders to finish those requests first.
		for (const id of ids) {
			engines.runsUntil.set(id, 60_000);
			remainingMs.set(id, id === 'e0' ? 60_000 : 0);
		}

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(8000);
		assert.isEmpty(engines.orders);
		await clock.tickAsync(3000);
		assert.deepEqual([...engines.versions.values()], ids.map(() => 2));
		assert.deepEqual(new Set(engines.runsAtOrders.values()), new Set(['continue']));
	});

	it('waits with the order for requests that have outlasted their expected time', async () => {
		// Guards against an order that waits for requests of any length and can't be replaced any more.
		engines.runsUntil.set('e0', 4000);
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(3900);
		assert.notInclude(engines.orders.map(([, id]) => id), 'e0');
		await clock.tickAsync(1500);
		assert.equal(engines.versions.get('e0'), 2);
		assert.equal(engines.runsAtOrders.get('e0'), 'finish');
	});

	it('has an engine finish requests that end soon, without a wait for its report', async () => {
		// Guards against engines that idle between their last request and their order.
		engines.runsUntil.set('e0', 600);
		remainingMs.set('e0', 200);
		for (const id of ids.slice(1)) {
			versions.seen(id, 2);
			engines.versions.set(id, 2);
		}

		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(500);
		assert.equal(engines.runsAtOrders.get('e0'), 'finish');
	});

	it('limits the wait for long requests', async () => {
		// A caller may read its response slowly, and the expected end of a request may be wrong.
		remainingMs.set('e0', 60_000);
		view.acceptWeights('m', 2, 0);
		await clock.tickAsync(9000);
		assert.deepEqual([...engines.versions.values()], ids.map(() => 2));
	});
});
