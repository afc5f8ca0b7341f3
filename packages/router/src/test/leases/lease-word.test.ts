import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createLeaseHolder, type LeaseHolder, type LeaseWord} from '../../leases.js';
import {createFakeTable, type TableFault} from '../limits/fleet.js';

const duty = 'weights';
const leaseMs = 1800;
const marginMs = 450;

describe('createLeaseHolder with the word of a holder', () => {
	let clock: FakeTimers.Clock;
	let fault: TableFault;
	let table: ReturnType<typeof createFakeTable>;
	let words: Map<string, LeaseWord>;

	beforeEach(() => {
		clock = FakeTimers.install();
		fault = 'none';
		table = createFakeTable(() => fault);
		words = new Map();
	});

	afterEach(() => {
		clock.uninstall();
	});

	const contender = (name: string, given = table): LeaseHolder => {
		const holder = createLeaseHolder({
			name, incarnation: 1n, table: given, leaseMs, marginMs, lastWord: other => words.get(other),
		});
		holder.contend(duty);
		return holder;
	};

	/** What a peer hears of a holder now. */
	const hear = (name: string, holder: LeaseHolder): void => {
		const word = holder.word(duty);
		if (word !== undefined) {
			words.set(name, {attempt: word.attempt, heardAt: performance.now(), msLeft: word.msLeft});
		}
	};

	it('is taken over when the holder that is cut from the table says that its lease has ended', async () => {
		// The holder can't reach the table any more but its peers hear it. The
		// successor need not wait for a whole lease from its own first look.
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

	it('is not taken over while a write of the holder is younger than its word', async () => {
		// The word is old: the holder has renewed since. Its row says so by the
		// number of the attempt, and the lease is waited for.
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

	it('is taken over soon when the holder stops while the answer to its renewal is on the way', async () => {
		// The renewal takes effect in the table and its holder is suspended. The row
		// bears an attempt; had the peers not heard of it before it was written, they
		// would take it for a lease that has just begun when they first look.
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

	it('is not held by a machine that slept, whose monotonic clock stood still', async () => {
		const a = contender('a');
		await a.tick();
		assert.isDefined(a.held(duty));
		// Only the time of day has moved while the machine was suspended.
		clock.setSystemTime(Date.now() + 4000);
		assert.isUndefined(a.held(duty));
	});
});
