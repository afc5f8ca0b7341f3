import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {createEndpointPresence, createFleetView, type FleetView} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {
	createEngineVersions, createWeightsRollout, type WeightsControl, type WeightsRollout,
} from '../../weights.js';
import {engineDocument} from './engine-document.js';

const ids = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5'];
const daemons = ['vm-0', 'vm-1', 'vm-2'];
const leaseMs = 3000;
const handoverMs = leaseMs + 200;
const loadMs = 500;
const durationMs = 20_000;
const stepMs = 100;

/** A history: who holds the lease from when on, when weights are named, and which answers are lost. */
const historyArbitrary = fc.record({
	holders: fc.array(fc.record({at: fc.integer({min: 0, max: durationMs}), daemon: fc.constantFrom(...daemons)}), {minLength: 2, maxLength: 8}),
	namings: fc.array(fc.integer({min: 0, max: durationMs - 4000}), {minLength: 1, maxLength: 5}),
	lost: fc.array(fc.boolean(), {minLength: 8, maxLength: 8}),
});

type History = {holders: Array<{at: number; daemon: string}>; namings: number[]; lost: boolean[]};

type Order = {at: number; daemon: string; id: string};

describe('createWeightsRollout with generated histories', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Engines that accept every order from any daemon; some of their answers are lost. */
	const createEngines = (history: History, orders: Order[]) => {
		const versions = new Map(ids.map(id => [id, 1]));
		const changing = new Set<string>();
		const taken = new Map(ids.map(id => [id, 0]));
		return (daemon: string): WeightsControl => ({
			async state({id}) {
				return {
					weights: new Map([['m', versions.get(id)!]]), waiting: 0, running: 0, isChanging: changing.has(id), ordersTaken: taken.get(id)!,
				};
			},
			async order({id}, {version}) {
				orders.push({at: performance.now(), daemon, id});
				const count = taken.get(id)! + 1;
				taken.set(id, count);
				changing.add(id);
				setTimeout(() => {
					changing.delete(id);
					versions.set(id, version);
				}, loadMs);
				if (history.lost[(count + orders.length) % history.lost.length]) {
					throw new Error('The answer was lost.');
				}

				return 'accepted';
			},
		});
	};

	const createView = (): FleetView => {
		const view = createFleetView(createSilentLog());
		view.acceptDocument(engineDocument);
		for (const id of ids) {
			view.acceptEndpoint({
				id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
			});
		}

		return view;
	};

	const simulate = async (history: History): Promise<Order[]> => {
		const orders: Order[] = [];
		const controlOf = createEngines(history, orders);
		const lease: {holder: string | undefined; fencing: number} = {holder: undefined, fencing: 1};
		const rollouts = new Map<string, WeightsRollout>();
		const views = daemons.map(() => createView());
		for (const [index, name] of daemons.entries()) {
			const informPeers = (): void => {
				for (const [other, rollout] of rollouts) {
					for (const id of other === name ? [] : ids) {
						const sinceMs = rollouts.get(name)!.sinceOrderMs(id);
						if (Number.isFinite(sinceMs)) {
							rollout.recordPeerOrder(id, sinceMs);
						}
					}
				}
			};

			rollouts.set(name, createWeightsRollout({
				name,
				view: views[index],
				versions: createEngineVersions(),
				control: controlOf(name),
				held: () => lease.holder === name ? {duty: 'weights', fencing: lease.fencing, msLeft: 1000} : undefined,
				handoverMs,
				presence: createEndpointPresence(createSilentLog()),
				announce: informPeers,
				weightsMs: 8000,
				remainingMs: () => 0,
				log: createSilentLog(),
			}));
		}

		let version = 1;
		for (let at = 0; at < durationMs; at += stepMs) {
			for (const {daemon} of history.holders.filter(item => item.at >= at && item.at < at + stepMs)) {
				lease.fencing += lease.holder === daemon ? 0 : 1;
				lease.holder = daemon;
			}

			for (const naming of history.namings) {
				if (naming >= at && naming < at + stepMs) {
					version++;
					for (const view of views) {
						view.acceptWeights('m', version, 0);
					}
				}
			}

			for (const rollout of rollouts.values()) {
				rollout.tick();
			}

			await clock.tickAsync(stepMs);
		}

		return orders;
	};

	it('never lets two daemons order the same engine within the duration of a lease', async () => {
		// The lease may pass to another daemon at any time, also during a change and when
		// answers are lost. Engines that don't check fencing tokens obey both holders.
		await fc.assert(fc.asyncProperty(historyArbitrary, async history => {
			const orders = await simulate(history);
			const last = new Map<string, Order>();
			for (const order of orders) {
				const before = last.get(order.id);
				if (before !== undefined && before.daemon !== order.daemon) {
					assert.isAtLeast(order.at - before.at, leaseMs);
				}

				last.set(order.id, order);
			}
		}), {seed: 5, numRuns: 40});
	});
});
