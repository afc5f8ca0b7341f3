import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {type Endpoint, type ModelService} from '../../configuration.js';
import {type HeldLease} from '../../leases.js';
import {PlatformUnavailableError, type TableClient, type TableRow} from '../../platform.js';
import {createRolloutRunner, type EngineControl, type LoadOrder} from '../../rollouts.js';

type FakeEngine = {version: string; loadingTo: string | undefined; endsAt: number; broken: boolean; fencing: number};

const loadMs = 400;

/** Fake engines that obey any order, also with an old fencing token, and can fail to load. */
function createEngines(count: number) {
	const engines = new Map<string, FakeEngine>();
	for (let index = 0; index < count; index++) {
		engines.set(`http://e${index}`, {
			version: 'w1', loadingTo: undefined, endsAt: 0, broken: false, fencing: 0,
		});
	}

	const settle = (engine: FakeEngine) => {
		if (engine.loadingTo !== undefined && performance.now() >= engine.endsAt && !engine.broken) {
			engine.version = engine.loadingTo;
			engine.loadingTo = undefined;
		}

		return engine;
	};

	const state = {
		peakLoading: 0,
		lowestReady: count,
		orders: [] as LoadOrder[],
	};
	const look = () => {
		let loading = 0;
		for (const engine of engines.values()) {
			loading += settle(engine).loadingTo === undefined ? 0 : 1;
		}

		state.peakLoading = Math.max(state.peakLoading, loading);
		state.lowestReady = Math.min(state.lowestReady, count - loading);
	};

	const control: EngineControl = {
		async weights(address) {
			const engine = settle(engines.get(address)!);
			return {version: engine.version, loading: engine.loadingTo !== undefined};
		},
		async order(address, order) {
			const engine = engines.get(address)!;
			state.orders.push(order);
			engine.fencing = order.fencing;
			engine.loadingTo = order.version;
			engine.endsAt = performance.now() + loadMs;
			look();
		},
	};
	return {
		engines, control, state, look,
	};
}

function createTable(fault: () => 'none' | 'down' | 'lost' = () => 'none'): TableClient {
	const rows = new Map<string, TableRow>();
	let version = 0;
	return {
		async get(key) {
			if (fault() === 'down') {
				throw new PlatformUnavailableError('down', false);
			}

			return rows.get(key);
		},
		list: async () => [],
		async transact([{key, value, ifVersion}]) {
			const kind = fault();
			if (kind === 'down') {
				throw new PlatformUnavailableError('down', false);
			}

			const current = rows.get(key)?.version ?? 0;
			if (ifVersion !== current) {
				return {committed: false, conflicts: [{key, version: current}]};
			}

			version++;
			rows.set(key, {key, value: value!, version});
			if (kind === 'lost') {
				throw new PlatformUnavailableError('lost', true);
			}

			return {committed: true, versions: {[key]: version}};
		},
	};
}

describe('rollouts', () => {
	let clock: ReturnType<typeof FakeTimers.install>;
	beforeEach(() => {
		clock = FakeTimers.install();
	});
	afterEach(() => {
		clock.uninstall();
	});

	function createFleet(count: number, fault?: () => 'none' | 'down' | 'lost') {
		const service: ModelService = {
			kind: 'model', name: 'wordsmith', model: 'wordsmith', version: 'w2', adapters: [], minReady: 4, maxLoading: 3, pieceTokens: 1024, bytesPerToken: 4,
		};
		const endpoints = Array.from({length: count}, (_, index): Endpoint => ({
			name: `e${index}`, service: 'wordsmith', vm: `vm-${index}`, dataCentre: 'a', address: `http://e${index}`, checksFencing: false,
		}));
		const fake = createEngines(count);
		const table = createTable(fault);
		const startOwner = (held: () => HeldLease | undefined, control = fake.control) => createRolloutRunner({
			service: () => service,
			endpoints: () => endpoints,
			held,
			control,
			table,
			weights: {
				list: async () => ['w1', 'w2', 'w3'].map(version => ({
					model: 'wordsmith', version, adapters: [], bytes: 1,
				})),
			},
			loadTimeoutMs: 5000,
			lingerMs: 1000,
		});
		return {service, ...fake, startOwner};
	}

	const leaseOf = (fencing: number, msLeft = 20_000): HeldLease => ({duty: 'rollout/wordsmith', fencing, msLeft});

	async function run(runner: {tick: () => Promise<void>}, ms: number, look: () => void): Promise<void> {
		for (let passed = 0; passed < ms; passed += 100) {
			try {
				await runner.tick();
			} catch {
				// The table fault was injected; the next round continues.
			}

			look();
			await clock.tickAsync(100);
		}
	}

	const versionsOf = (engines: Map<string, FakeEngine>) => [...engines.values()].map(engine => engine.version);

	it('brings every endpoint to the new weights within its bounds', async () => {
		const fleet = createFleet(8);
		const runner = fleet.startOwner(() => leaseOf(1));
		await run(runner, 8000, fleet.look);
		assert.deepEqual(new Set(versionsOf(fleet.engines)), new Set(['w2']));
		assert.equal(fleet.state.peakLoading, 3);
		assert.isAtLeast(fleet.state.lowestReady, 4);
		assert.lengthOf(fleet.state.orders, 8);
	});

	// With five endpoints and minReady 4, only one may load at a time, although
	// maxLoading allows more.
	it('never takes the service below minReady', async () => {
		const fleet = createFleet(5);
		await run(fleet.startOwner(() => leaseOf(1)), 10_000, fleet.look);
		assert.deepEqual(new Set(versionsOf(fleet.engines)), new Set(['w2']));
		assert.equal(fleet.state.peakLoading, 1);
	});

	// The second endpoint never finishes loading. Fewer endpoints run the new weights
	// than the old, so the rollout rolls back, and does not retry the same weights
	// by itself.
	it('rolls back when a load fails early, and halts', async () => {
		const fleet = createFleet(8);
		fleet.engines.get('http://e1')!.broken = true;
		const runner = fleet.startOwner(() => leaseOf(1));
		await run(runner, 4000, fleet.look);
		fleet.engines.get('http://e5')!.broken = false;
		await run(runner, 20_000, fleet.look);
		assert.include(['back', 'halted'], runner.record()!.phase);
		assert.match(runner.record()!.reason, /e1 did not load w2/v);
		assert.isBelow(fleet.state.orders.filter(order => order.version === 'w2').length, 9);
	});

	// The last endpoint fails when most already run the new weights. A rollback would
	// affect more endpoints than completing the rollout, so an operator must decide.
	it('halts without a rollback when most endpoints run the new weights', async () => {
		const fleet = createFleet(8);
		fleet.engines.get('http://e7')!.broken = true;
		const runner = fleet.startOwner(() => leaseOf(1));
		await run(runner, 20_000, fleet.look);
		assert.equal(runner.record()!.phase, 'halted');
		assert.equal(versionsOf(fleet.engines).filter(version => version === 'w2').length, 7);
		assert.isEmpty(fleet.state.orders.filter(order => order.version === 'w1'));
	});

	// Endpoints that ignore fencing tokens obey the last order they receive. The
	// first owner sends nothing in the last second of its lease, and the second waits
	// a second before its first order, so no late order follows a newer one.
	it('never sends an order of the old owner after one of the new owner', async () => {
		const fleet = createFleet(8);
		const ending = fleet.startOwner(() => leaseOf(1, 900));
		await run(ending, 3000, fleet.look);
		assert.isEmpty(fleet.state.orders);
		const next = fleet.startOwner(() => leaseOf(2));
		await run(next, 900, fleet.look);
		assert.isEmpty(fleet.state.orders);
		await run(next, 8000, fleet.look);
		assert.deepEqual(new Set(fleet.state.orders.map(order => order.fencing)), new Set([2]));
	});

	// The owner recorded three steps and crashed before their orders were sent. The
	// new owner finds them in the record, sees that no engine is loading, and sends
	// the orders under its own fencing token.
	it('resends orders that were lost with their owner', async () => {
		const fleet = createFleet(8);
		const orderDroppingControl = {...fleet.control, order: async () => undefined};
		await run(fleet.startOwner(() => leaseOf(1), orderDroppingControl), 1500, fleet.look);
		assert.isEmpty(fleet.state.orders);
		await run(fleet.startOwner(() => leaseOf(2)), 1300, fleet.look);
		assert.lengthOf(fleet.state.orders, 3);
	});

	// Owners crash between any two steps while the table fails and loses answers. The
	// limits always hold, and an owner that keeps running completes or halts the rollout.
	it('continues after crashes of its owner, within its limits', async () => {
		await fc.assert(fc.asyncProperty(
			fc.array(fc.record({ticks: fc.integer({min: 0, max: 30}), faults: fc.array(fc.constantFrom('none', 'none', 'down', 'lost'), {maxLength: 6})}), {maxLength: 6}),
			async owners => {
				let faults: string[] = [];
				const fleet = createFleet(8, () => (faults.pop() ?? 'none') as 'none' | 'down' | 'lost');
				let fencing = 0;
				for (const owner of owners) {
					fencing++;
					const own = fencing;
					faults = [...owner.faults];
					await run(fleet.startOwner(() => leaseOf(own)), owner.ticks * 100, fleet.look);
				}

				faults = [];
				const last = fleet.startOwner(() => leaseOf(fencing + 1));
				await run(last, 25_000, fleet.look);
				assert.isAtMost(fleet.state.peakLoading, 3);
				assert.isAtLeast(fleet.state.lowestReady, 4);
				const isDone = versionsOf(fleet.engines).every(version => version === 'w2');
				assert.isTrue(isDone || last.record()!.phase === 'halted', JSON.stringify(last.record()));
			},
		), {seed: 1, numRuns: 60});
	});
});
