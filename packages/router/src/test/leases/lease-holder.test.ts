import {assert} from 'chai';
import FakeTimers from '@sinonjs/fake-timers';
import {createLeaseHolder, type LeaseHolder} from '../../leases.js';
import {createFakeTable, type TableFault} from '../limits/fleet.js';

const duty = 'compaction';
const leaseMs = 30_000;
const marginMs = 5000;

describe('createLeaseHolder', () => {
	let clock: FakeTimers.Clock;
	let fault: TableFault;
	let table: ReturnType<typeof createFakeTable>;
	beforeEach(() => {
		clock = FakeTimers.install();
		fault = 'none';
		table = createFakeTable(() => fault);
	});
	afterEach(() => {
		clock.uninstall();
	});

	function contender(name: string, ended: string[] = []): LeaseHolder {
		const holder = createLeaseHolder({
			name, incarnation: 1n, table, hasEnded: other => ended.includes(other),
		});
		holder.contend(duty);
		return holder;
	}

	/** Ticks the given holders for a time, while all others are paused. */
	async function run(holders: LeaseHolder[], ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += 1000) {
			await clock.tickAsync(1000);
			for (const holder of holders) {
				await holder.tick();
			}

			assert.isAtMost(holders.filter(holder => holder.held(duty)).length, 1);
		}
	}

	it('assigns a duty to one of two contenders, which keeps it', async () => {
		const [a, b] = [contender('a'), contender('b')];
		await Promise.all([a.tick(), b.tick()]);
		assert.equal([a, b].filter(holder => holder.held(duty)).length, 1);
		await run([a, b], leaseMs * 3);
		assert.equal([a, b].filter(holder => holder.held(duty)).length, 1);
	});

	it('ends the lease of a paused holder before another daemon may act', async () => {
		// A holder is paused until its lease has ended and another daemon has acquired
		// the duty. When it resumes, it must see at once, before any request, that it
		// may not act.
		const [a, b] = [contender('a'), contender('b')];
		await a.tick();
		const before = a.held(duty)?.fencing ?? 0;
		await b.tick();
		let overlap = false;
		for (let passed = 0; passed < leaseMs * 2; passed += 1000) {
			await clock.tickAsync(1000);
			await b.tick();
			overlap ||= a.held(duty) !== undefined && b.held(duty) !== undefined;
		}

		assert.isFalse(overlap);
		assert.isUndefined(a.held(duty));
		assert.isAbove(b.held(duty)?.fencing ?? 0, before);
		await a.tick();
		assert.isUndefined(a.held(duty));
	});

	it('leaves the margins of holder and contender between two leases', async () => {
		const [a, b] = [contender('a'), contender('b')];
		await a.tick();
		await b.tick();
		await run([b], leaseMs - marginMs - 1000);
		assert.isDefined(a.held(duty));
		await run([b], 1000);
		assert.isUndefined(a.held(duty));
		await run([b], (marginMs * 2) - 1000);
		assert.isUndefined(b.held(duty));
		await run([b], 1000);
		assert.isDefined(b.held(duty));
	});

	/** The table, with answers that take this long. */
	const lateTable = (latenessMs: () => number): typeof table => {
		const late = <T extends unknown[], Result>(call: (...parameters: T) => Promise<Result>) => async (...parameters: T): Promise<Result> => {
			const result = await call(...parameters);
			await new Promise<void>(resolve => {
				setTimeout(resolve, latenessMs());
			});
			return result;
		};

		return {
			...table, get: late(table.get), list: late(table.list), transact: late(table.transact),
		};
	};

	it('keeps a duty beside a table that takes half a lease to answer, and nobody takes it over before its end', async () => {
		// Guards against a duty that nobody can do for as long as the table is late, and against one that two do at once.
		let latenessMs = leaseMs / 2;
		const options = {incarnation: 1n, table: lateTable(() => latenessMs)};
		const [a, b] = ['a', 'b'].map(name => createLeaseHolder({name, ...options}));
		for (const holder of [a, b]) {
			holder.contend(duty);
			void holder.start();
		}

		const isHeldBy = (holder: LeaseHolder): boolean => holder.held(duty) !== undefined;
		let heldMs = 0;
		for (let passed = 0; passed < leaseMs * 20; passed += 500) {
			await clock.tickAsync(500);
			assert.isFalse(isHeldBy(a) && isHeldBy(b));
			heldMs += passed >= leaseMs * 4 && (isHeldBy(a) || isHeldBy(b)) ? 500 : 0;
		}

		assert.equal(heldMs, leaseMs * 16);
		const [holder, contender] = isHeldBy(a) ? [a, b] : [b, a];
		const {fencing} = holder.held(duty)!;
		holder.close();
		while (isHeldBy(holder)) {
			await clock.tickAsync(500);
			assert.isFalse(isHeldBy(contender));
		}

		latenessMs = 0;
		await clock.tickAsync((leaseMs * 6) + (marginMs * 3));
		assert.isAbove(contender.held(duty)!.fencing, fencing);
		contender.close();
	});

	const checkTakeover = async (value: string): Promise<void> => {
		const [a, b] = [contender('a'), contender('b')];
		await a.tick();
		const before = a.held(duty)!.fencing;
		await table.transact([{key: `leases/${duty}`, value}, {key: 'leases/other', value}]);
		await run([a, b], (leaseMs + marginMs) * 2);
		const successor = a.held(duty) === undefined ? b : a;
		const {fencing} = successor.held(duty)!;
		assert.isAbove(fencing, before);
		const other = successor === a ? b : a;
		await run([other], (leaseMs + marginMs) * 2);
		assert.isAbove(other.held(duty)!.fencing, fencing);
	};

	for (const [name, value] of Object.entries({
		'is not JSON': '\u0000',
		'is nested deeply': '['.repeat(100_000),
		'lacks its fields': '{}',
		'has an incarnation that is no number': JSON.stringify({
			holder: 'x', incarnation: 'first', fencing: 1, attempt: 1,
		}),
		'has a fencing token that is too large': JSON.stringify({
			holder: '', incarnation: '1', fencing: Number.MAX_SAFE_INTEGER, attempt: 1,
		}),
		'has a lease that is too long': JSON.stringify({
			holder: 'x', incarnation: '1', fencing: 1, attempt: 1, leaseMs: 1e12,
		}),
		'has a negative fencing token': JSON.stringify({
			holder: '', incarnation: '0', fencing: -7, attempt: 0,
		}),
		'has an earlier fencing token': JSON.stringify({
			holder: '', incarnation: '0', fencing: 0, attempt: 0,
		}),
	})) {
		// Guards against duties that no daemon ever takes over again because of one row of another writer.
		it(`assigns a duty although a row ${name}, with a higher fencing token than before`, async () => checkTakeover(value));
	}

	it('reads its own row back when the response to a write is lost', async () => {
		// The write took effect but its response was lost. The holder finds its own
		// attempt in the row; the lease counts from before the write.
		const a = contender('a');
		let calls = 0;
		table = createFakeTable(() => {
			calls += 1;
			return calls === 2 ? 'answer-lost' : 'none';
		});
		const holder = createLeaseHolder({name: 'a', incarnation: 1n, table});
		holder.contend(duty);
		await holder.tick();
		assert.equal(holder.held(duty)?.fencing, 1);
		assert.isUndefined(a.held(duty));
	});

	it('stops when its lease ends while the table is down, and continues with a higher fencing token', async () => {
		const a = contender('a');
		await a.tick();
		fault = 'down';
		await run([a], leaseMs - marginMs - 1000);
		assert.equal(a.held(duty)?.fencing, 1);
		await run([a], 1000);
		assert.isUndefined(a.held(duty));
		fault = 'none';
		await a.tick();
		assert.equal(a.held(duty)?.fencing, 2);
	});

	it('limits reads of the table in a fleet without a holder when the first candidates cannot reach it', async () => {
		// Without the limit, all daemons would read the lease in each round while the
		// store refuses some of them.
		const names = Array.from({length: 200}, (_item, index) => `vm-${index}`);
		const down = createFakeTable(() => 'down');
		let reads = 0;
		const list: typeof down.list = async query => {
			reads++;
			return down.list(query);
		};

		const holders = names.map(name => {
			const holder = createLeaseHolder({
				name, incarnation: 1n, table: {...down, list}, candidates: () => names, leaseMs,
			});
			holder.contend(duty);
			return holder;
		});
		await run(holders, leaseMs * 2);
		const reachable = contender('vm-0');
		assert.isAtMost(reads, (4 * 60) + (196 * 3));
		await reachable.tick();
		assert.isDefined(reachable.held(duty));
	});

	it('leaves a duty to a daemon that can act at once, but not for long', async () => {
		// Guards against duties that stand still because a process that has just started takes them.
		const create = (name: string, candidates: string[], isDeferred: boolean): LeaseHolder => {
			const holder = createLeaseHolder({
				name, incarnation: 1n, table, candidates: () => candidates, isDeferred: () => isDeferred,
			});
			holder.contend(duty);
			return holder;
		};

		const fresh = create('fresh', ['fresh', 'settled'], true);
		const settled = create('settled', ['settled'], false);
		await run([fresh, settled], 2000);
		assert.isUndefined(fresh.held(duty));
		assert.isDefined(settled.held(duty));
		await settled.release();
		await run([fresh], 2000);
		assert.isDefined(fresh.held(duty));
	});

	it('tells peers that it releases a duty before it writes so', async () => {
		// Guards against a successor that waits for a report that the holder sends only with its next round.
		const reports: Array<{msLeft: number} | undefined> = [];
		const holder: LeaseHolder = createLeaseHolder({
			name: 'a', incarnation: 1n, table, onAttempt() {
				reports.push(holder.report(duty));
			},
		});
		holder.contend(duty);
		await holder.tick();
		await holder.release();
		assert.equal(reports.at(-1)?.msLeft, 0);
	});

	it('does not wait for a holder that has ended or has released the duty', async () => {
		const [a, b] = [contender('a'), contender('b', ['a'])];
		await a.tick();
		await b.tick();
		assert.equal(b.held(duty)?.fencing, 2);
		await b.release();
		assert.isUndefined(b.held(duty));
		const c = contender('c');
		await c.tick();
		assert.isAbove(c.held(duty)!.fencing, 2);
	});
});
