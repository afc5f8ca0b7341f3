import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createFleetView, type FleetView} from '../../fleet.js';
import {createLeaseHolder} from '../../leases.js';
import {createSilentLog} from '../../observability.js';
import {createNamingRecord, type NamingRecord} from '../../weights.js';
import {createFakeTable} from '../limits/fleet.js';

const duty = 'weights';
const leaseMs = 1800;

type Daemon = {view: FleetView; record: NamingRecord; tick: () => Promise<void>};

describe('createNamingRecord', () => {
	let clock: FakeTimers.Clock;
	let table: ReturnType<typeof createFakeTable>;
	let feedAge: number;
	let generation: number;

	beforeEach(() => {
		clock = FakeTimers.install();
		table = createFakeTable(() => 'none');
		feedAge = 0;
		generation = 1;
	});

	afterEach(() => {
		clock.uninstall();
	});

	const start = (name: string): Daemon => {
		const view = createFleetView(createSilentLog());
		const record = createNamingRecord({
			view, storeMs: () => 1_000_000 + performance.now(), generation: () => generation, feedAgeMs: () => feedAge, log: createSilentLog(),
		});
		const leases = createLeaseHolder({
			name,
			incarnation: BigInt(Math.round(performance.now())),
			table,
			leaseMs,
			marginMs: 450,
			note: record.encode,
			onNote(_duty, note) {
				record.accept(note);
			},
		});
		leases.contend(duty);
		return {view, record, tick: leases.tick};
	};

	const learn = ({view, record}: Daemon, version: number): void => {
		view.acceptWeights('m', version, Number.POSITIVE_INFINITY);
		record.apply();
	};

	/** Time since versions 2, 3 and 4 were replaced, in seconds. */
	const ages = ({view}: Daemon): number[] => [2, 3, 4].map(version => view.namedWeights('m')!.outdatedMs(version) / 1000);

	/** Names three versions, five seconds apart; the holder keeps its lease renewed until five seconds after the last. */
	const serve = async (): Promise<void> => {
		const holder = start('vm-1');
		for (const version of [2, 3, 4]) {
			holder.view.acceptWeights('m', version, 0);
			for (let ms = 0; ms < 5000; ms += 500) {
				await holder.tick();
				await clock.tickAsync(500);
			}
		}
	};

	it('applies no times of an earlier generation of the store, whose clock may have been another one', async () => {
		// Guards against replaced weights that count as fresh because the store's clock went back.
		await serve();
		generation = 2;
		const successor = start('vm-2');
		learn(successor, 4);
		await successor.tick();
		assert.deepEqual(ages(successor).slice(0, 2), [Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY]);
	});

	it('preserves the ages of replaced weights when all daemons restart at once', async () => {
		await serve();
		await clock.tickAsync(1000);
		const restarted = start('vm-2');
		await restarted.tick();
		learn(restarted, 4);
		assert.deepEqual(ages(restarted), [11, 6, 0]);
	});

	it('preserves the ages across a second restart, even if the holder in between received no namings', async () => {
		await serve();
		const second = start('vm-2');
		for (let ms = 0; ms < 4000; ms += 500) {
			await second.tick();
			await clock.tickAsync(500);
		}

		const third = start('vm-3');
		await third.tick();
		learn(third, 4);
		assert.deepEqual(ages(third), [14, 9, 0]);
	});

	it('dates a naming that is not listed to the time up to which the record is complete', async () => {
		feedAge = 300;
		await serve();
		await clock.tickAsync(1000);
		const restarted = start('vm-2');
		await restarted.tick();
		learn(restarted, 5);
		assert.deepEqual(ages(restarted), [11, 6, 1.8]);
	});

	it('preserves that a version may have been named unobserved', async () => {
		const holder = start('vm-1');
		holder.view.acceptWeights('m', 2, 0);
		await clock.tickAsync(30_000);
		holder.view.acceptWeights('m', 4, 30_000);
		holder.view.acceptNamingAge('m', 4, 1000);
		await holder.tick();
		const restarted = start('vm-2');
		await restarted.tick();
		learn(restarted, 4);
		assert.deepEqual(ages(restarted), [30, 30, 0]);
	});

	it('ignores an invalid record', () => {
		const daemon = start('vm-1');
		daemon.record.accept('{"asOf":"soon"}');
		learn(daemon, 4);
		assert.deepEqual(ages(daemon), [Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY, 0]);
	});
});
