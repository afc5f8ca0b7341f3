import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createSilentLog} from 'hickorywalk/observability.js';
import {createRetryPartHolder, type RetryPartHolder} from 'hickorywalk/retries.js';
import {createSharedTable, type SharedTable, type TableAccess} from './shared-table.js';

const leaseMs = 60_000;
const renewedWithinMs = 25_000;

describe('createRetryPartHolder', () => {
	let clock: FakeTimers.Clock;
	let table: SharedTable;

	beforeEach(() => {
		clock = FakeTimers.install({now: 1_700_000_000_000, toFake: ['performance', 'setTimeout', 'clearTimeout', 'Date']});
		table = createSharedTable(() => 0.5);
	});

	afterEach(() => {
		clock.uninstall();
	});

	const start = (name: string, access: TableAccess = table.access()): RetryPartHolder => {
		const holder = createRetryPartHolder({
			name, incarnation: 1, total: 50, windowMs: 10_000, isFirstStart: true, table: access.table, tableMs: access.tableMs, random: () => 0.5, log: createSilentLog(),
		});
		holder.start();
		return holder;
	};

	const stop = async (holder: RetryPartHolder): Promise<void> => {
		const left = holder.leave();
		await clock.tickAsync(200);
		await left;
	};

	it('tells of the others that run, until they have stopped or their leases have ended', async () => {
		const accessB = table.access();
		const [a, b, c] = [start('a'), start('b', accessB), start('c')];
		await clock.tickAsync(renewedWithinMs);
		assert.sameMembers(a.others().map(({name}) => name), ['b', 'c']);
		assert.isTrue(a.others().every(({renewedMsAgo}) => renewedMsAgo >= 0 && renewedMsAgo < renewedWithinMs));
		a.forget('c');
		await stop(c);
		assert.deepEqual(a.others().map(({name}) => name), ['b']);
		accessB.cut('cut');
		await clock.tickAsync(renewedWithinMs);
		assert.deepEqual(a.others().map(({name}) => name), ['b']);
		await clock.tickAsync(leaseMs);
		assert.deepEqual(a.others(), []);
		assert.equal(a.holders(), 1);
		assert.equal(b.units(), 0);
	});

	it('keeps its part while the table is down for less than a lease, and has none from then on until it answers', async () => {
		const a = start('a');
		await clock.tickAsync(renewedWithinMs);
		const units = a.units();
		assert.isAbove(units, 0);
		table.setDown(true);
		await clock.tickAsync(leaseMs - renewedWithinMs);
		assert.equal(a.units(), units);
		await clock.tickAsync(renewedWithinMs);
		assert.equal(a.units(), 0);
		table.setDown(false);
		await clock.tickAsync(5000);
		assert.equal(a.units(), units);
	});

	it('has no part after a step of the wall clock, which may be a suspension, until it has renewed it', async () => {
		// Guards against a part that is used by a machine which was suspended while others got its units.
		const a = start('a');
		await clock.tickAsync(renewedWithinMs);
		assert.isAbove(a.units(), 0);
		clock.setSystemTime(Date.now() + 30_000);
		assert.equal(a.units(), 0);
		await clock.tickAsync(200);
		assert.isAbove(a.units(), 0);
	});

	it('returns its part with a planned stop, and others get it once it has rested for a window', async () => {
		const [a, b] = [start('a'), start('b')];
		await clock.tickAsync(renewedWithinMs);
		const before = b.units();
		await clock.tickAsync(100);
		const stopped = stop(a);
		assert.equal(a.units(), 0);
		await stopped;
		await clock.tickAsync(2 * renewedWithinMs);
		assert.isAbove(b.units(), before * 1.5);
	});
});
