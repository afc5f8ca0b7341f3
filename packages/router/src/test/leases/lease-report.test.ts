import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createLeaseHolder, type LeaseHolder, type LeaseReport} from '../../leases.js';
import {createFakeTable, type TableFault} from '../limits/fleet.js';

const duty = 'weights';
const leaseMs = 1800;
const marginMs = 450;

describe('createLeaseHolder with reports of a holder', () => {
	let clock: FakeTimers.Clock;
	let fault: TableFault;
	let table: ReturnType<typeof createFakeTable>;
	let reports: Map<string, LeaseReport>;

	beforeEach(() => {
		clock = FakeTimers.install();
		fault = 'none';
		table = createFakeTable(() => fault);
		reports = new Map();
	});

	afterEach(() => {
		clock.uninstall();
	});

	const contender = (name: string, given = table): LeaseHolder => {
		const holder = createLeaseHolder({
			name, incarnation: 1n, table: given, leaseMs, marginMs, lastReport: other => reports.get(other),
		});
		holder.contend(duty);
		return holder;
	};

	/** Records the holder's current report as received by peers. */
	const hear = (name: string, holder: LeaseHolder): void => {
		const report = holder.report(duty);
		if (report !== undefined) {
			reports.set(name, {attempt: report.attempt, heardAt: performance.now(), msLeft: report.msLeft});
		}
	};

	it('takes a lease over when a holder that is cut off from the table reports that it has ended', async () => {
		// The holder can no longer reach the table but its peers receive its reports.
		// The successor need not wait for a whole lease from its first read of the row.
		const [a, b] = [contender('a'), contender('b')];
		await a.tick();
		hear('a', a);
		const cutAt = performance.now();
		while (b.held(duty) === undefined) {
			await clock.tickAsync(100);
			hear('a', a);
			await b.tick();
			assert.isTrue(a.held(duty) === undefined || b.held(duty) === undefined);
		}

		assert.isAtMost(performance.now() - cutAt, leaseMs);
	});

	it('does not take a lease over when the holder has written the row since its report', async () => {
		// The report is outdated because the holder has renewed since. The attempt number
		// in the row shows it, so that the whole lease must be awaited.
		const [a, b] = [contender('a'), contender('b')];
		await a.tick();
		hear('a', a);
		await clock.tickAsync(1300);
		await a.tick();
		await clock.tickAsync(400);
		await b.tick();
		assert.isUndefined(b.held(duty));
		assert.isDefined(a.held(duty));
	});

	it('takes a lease over early when the holder is suspended before the response to its renewal', async () => {
		// The renewal takes effect in the table and its holder is suspended. If peers
		// had not learned of the attempt before it was written, they would take the row
		// for a lease that begins when they first read it.
		const a: LeaseHolder = createLeaseHolder({
			name: 'a', incarnation: 1n, table, leaseMs, marginMs, onAttempt() {
				hear('a', a);
			},
		});
		a.contend(duty);
		const b = contender('b');
		await a.tick();
		await clock.tickAsync(600);
		await a.tick();
		const stoppedAt = performance.now();
		await clock.tickAsync(1000);
		while (b.held(duty) === undefined) {
			await b.tick();
			await clock.tickAsync(100);
		}

		assert.isAtMost(performance.now() - stoppedAt, leaseMs + 100);
	});

	it('drops the lease of a machine that was suspended while its monotonic clock stood still', async () => {
		const a = contender('a');
		await a.tick();
		assert.isDefined(a.held(duty));
		// Only the wall clock advances while the machine is suspended.
		clock.setSystemTime(Date.now() + 4000);
		assert.isUndefined(a.held(duty));
	});

	it('goes to another daemon at once when its holder hands it over, and comes back only after the pause', async () => {
		// Guards against a duty that is taken again by the daemon that can't perform it.
		const [a, b] = [contender('a'), contender('b')];
		await a.tick();
		await a.handOver(duty, 5000);
		assert.isUndefined(a.held(duty));
		await a.tick();
		assert.isUndefined(a.held(duty));
		await b.tick();
		const {fencing} = b.held(duty)!;
		assert.isAbove(fencing, 1);
		await b.handOver(duty, 60_000);
		await clock.tickAsync(4900);
		await a.tick();
		assert.isUndefined(a.held(duty));
		await clock.tickAsync(200);
		await a.tick();
		assert.isAbove(a.held(duty)!.fencing, fencing);
	});
});
