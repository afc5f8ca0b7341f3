import {assert} from 'chai';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {z} from 'zod';
import FakeTimers from '@sinonjs/fake-timers';
import {
	createFleet, largestExcess, roundingTokens, sumBy, type TableFault,
} from './fleet.js';

const workspace = 'school-1';
const limit = {name: workspace, tokensPerSecond: 1000, burstTokens: 10_000};
const leaseMs = 60_000;
const settings = {leaseMs, marginMs: 1000, refreshMs: 2000};
const minute = 60_000;

describe('limits under faults', () => {
	let clock: FakeTimers.Clock;
	beforeEach(() => {
		clock = FakeTimers.install();
	});
	afterEach(() => {
		clock.uninstall();
	});

	type Fleet = ReturnType<typeof createFleet>;

	async function startAll(fleet: Fleet, names = ['a', 'b', 'c']): Promise<void> {
		for (const name of names) {
			fleet.start(name);
		}

		await clock.tickAsync(5000);
	}

	/** Requests more tokens than are available, in small amounts on the named daemons; returns the tokens charged. */
	async function spendAll(fleet: Fleet, names: string[], tokens = 500): Promise<number> {
		const before = sumBy(fleet.charges, charge => charge.tokens);
		for (let round = 0; round < 40; round += 1) {
			for (const name of names) {
				void fleet.ask(name, {workspace, tokens, longestWaitMs: 50});
			}

			await clock.tickAsync(20);
		}

		return sumBy(fleet.charges, charge => charge.tokens) - before;
	}

	function issuerOf(fleet: Fleet): string {
		for (const {key, value} of fleet.table.rows.values()) {
			if (key.startsWith('limits/shard/')) {
				return z.object({issuer: z.string()}).parse(JSON.parse(value)).issuer;
			}
		}

		return '';
	}

	function assertWithin(fleet: Fleet): void {
		assert.isBelow(largestExcess(fleet.charges, limit), roundingTokens);
	}

	/** Lets the daemon hold 6000 returned tokens, so that the reserve must refill. */
	async function holdTokens(fleet: Fleet, name: string): Promise<void> {
		void fleet.ask(name, {
			workspace, tokens: 6000, longestWaitMs: 5000, usedShare: 0, settleAfterMs: 50,
		});
		await clock.tickAsync(100);
	}

	it('still admit requests during a table outage shorter than the lease, and refuse them after it', async () => {
		// Callers notice no outage of the table while the leases last. After that no
		// daemon knows which one took over, so requests are refused rather than
		// tokens spent twice. Service resumes once the table is back.
		let fault: TableFault = 'none';
		const fleet = createFleet({limits: [limit], settings: {...settings, leaseMs: 90 * minute}, tableFault: () => fault});
		await startAll(fleet);
		fault = 'down';
		await clock.tickAsync(60 * minute);
		assert.isAtLeast(await spendAll(fleet, ['a', 'b', 'c']), limit.burstTokens * 0.9);
		await clock.tickAsync(130 * minute);
		assert.equal(await spendAll(fleet, ['a', 'b', 'c']), 0);
		fault = 'none';
		await clock.tickAsync(95 * minute);
		assert.isAtLeast(await spendAll(fleet, ['a', 'b', 'c']), limit.burstTokens * 0.9);
		assertWithin(fleet);
		fleet.close();
	});

	it('do not let a holder spend tokens whose lease ended while it was paused', async () => {
		// A daemon with tokens is paused beyond its lease; they are issued again and
		// spent by others. When it resumes, a request arrives before any message.
		const fleet = createFleet({limits: [limit], settings});
		await startAll(fleet);
		const holder = 'b';
		await holdTokens(fleet, holder);
		fleet.pause(holder);
		await clock.tickAsync(leaseMs * 2.5);
		await spendAll(fleet, ['a', 'c']);
		fleet.daemons.get(holder)?.deferred.unshift(() => {
			void fleet.ask(holder, {workspace, tokens: 5000, longestWaitMs: 0});
		});
		fleet.resume(holder);
		await spendAll(fleet, ['a', 'b', 'c']);
		assertWithin(fleet);
		fleet.close();
	});

	it('make a new issuer wait for a holder that does not report', async () => {
		// The issuer is replaced while a holder of tokens is paused. The new issuer
		// must not issue these tokens again before the holder has reported.
		const fleet = createFleet({limits: [limit], settings});
		await startAll(fleet);
		const issuer = issuerOf(fleet);
		const [holder, other] = ['a', 'b', 'c'].filter(name => name !== issuer);
		await holdTokens(fleet, holder);
		fleet.pause(holder);
		fleet.start(issuer);
		await clock.tickAsync(15_000);
		await spendAll(fleet, [issuer, other]);
		fleet.resume(holder);
		await spendAll(fleet, [holder]);
		assertWithin(fleet);
		fleet.close();
	});

	it('ignore a grant to an earlier process of the daemon', async () => {
		// The answer to the old process's first wish reaches the new process,
		// whose first wish has the same sequence number and is still unanswered.
		// Meanwhile the old process's tokens were issued again.
		const delays = new Map<string, number>();
		const fleet = createFleet({limits: [limit], settings, delays: from => [delays.get(from) ?? 1]});
		await startAll(fleet);
		const issuer = issuerOf(fleet);
		const holder = issuer === 'a' ? 'b' : 'a';
		delays.set(issuer, 25_000);
		void fleet.ask(holder, {workspace, tokens: 9000, longestWaitMs: 5000});
		await clock.tickAsync(10);
		fleet.start(holder);
		await clock.tickAsync(12_000);
		for (let request = 0; request < 6; request += 1) {
			void fleet.ask(holder, {workspace, tokens: 2000, longestWaitMs: 0});
		}

		await clock.tickAsync(12_000);
		void fleet.ask(holder, {workspace, tokens: 2000, longestWaitMs: 0});
		// The old grant has just arrived; the daemon's next tick has not run yet.
		await clock.tickAsync(997);
		void fleet.ask(holder, {workspace, tokens: 9000, longestWaitMs: 0});
		await spendAll(fleet, [issuer]);
		assertWithin(fleet);
		fleet.close();
	});

	it('stop an issuer that cannot reach the table, although its peers still send it wishes', async () => {
		// Network partition: one side reaches the table, the other only the old
		// issuer. The new issuer must wait until every lease that the old one may
		// have granted has ended.
		const cut = new Set<string>();
		const fleet = createFleet({
			limits: [limit],
			settings,
			tableFault: name => cut.has(name) ? 'down' : 'none',
			delays: (from, to) => cut.has(from) === cut.has(to) ? [1] : [],
		});
		await startAll(fleet);
		const issuer = issuerOf(fleet);
		const [holder, other] = ['a', 'b', 'c'].filter(name => name !== issuer);
		cut.add(issuer).add(holder);
		for (let round = 0; round < 40; round += 1) {
			await clock.tickAsync(leaseMs / 8);
			await spendAll(fleet, [holder, other]);
			assertWithin(fleet);
		}

		assert.equal(issuerOf(fleet), other);
		fleet.close();
	});

	it('lose no tokens when messages are lost', async () => {
		// Half of the messages between daemons are lost, including grants with
		// tokens. The tokens of lost messages must be available to later requests.
		const generator = xoroshiro128plus(1);
		let lossy = false;
		const fleet = createFleet({
			limits: [{...limit, tokensPerSecond: 1}],
			settings,
			delays: () => lossy && uniformFloat64(generator) < 0.5 ? [] : [1],
		});
		await startAll(fleet);
		lossy = true;
		for (let round = 0; round < 30; round += 1) {
			for (const name of ['a', 'b', 'c']) {
				void fleet.ask(name, {workspace, tokens: 300, longestWaitMs: 5000});
			}

			await clock.tickAsync(1000);
		}

		lossy = false;
		await clock.tickAsync(11_000);
		await spendAll(fleet, ['a', 'b', 'c']);
		assert.isAtLeast(sumBy(fleet.charges, charge => charge.tokens), limit.burstTokens - 500);
		fleet.close();
	});

	it('reissue the share of a lost VM as soon as the VM list drops it', async () => {
		// A VM is lost with most of the tokens. Its share is reissued from zero at
		// once if departures are trusted, otherwise only after its lease.
		for (const trustDepartures of [true, false]) {
			const fleet = createFleet({limits: [limit], settings: {...settings, trustDepartures}});
			await startAll(fleet);
			const issuer = issuerOf(fleet);
			const [holder, other] = ['a', 'b', 'c'].filter(name => name !== issuer);
			await holdTokens(fleet, holder);
			fleet.remove(holder);
			await clock.tickAsync(11_000);
			const spent = await spendAll(fleet, [issuer, other]);
			assert.equal(spent >= limit.burstTokens * 0.9, trustDepartures, `${spent} tokens`);
			assertWithin(fleet);
			fleet.close();
		}
	});

	it('admit requests within a second after all daemons restart at once, starting from an empty burst', async () => {
		// What was spent just before is unknown, so the burst starts empty; the rate
		// is available at once.
		const fleet = createFleet({limits: [limit], settings});
		await startAll(fleet);
		await spendAll(fleet, ['a', 'b', 'c']);
		for (const name of ['a', 'b', 'c']) {
			fleet.start(name);
		}

		const asked = fleet.ask('a', {workspace, tokens: 500, longestWaitMs: 1000});
		await clock.tickAsync(1000);
		const result = await asked;
		assert.isTrue(result?.granted);
		assertWithin(fleet);
		fleet.close();
	});

	it('refuse a request at once if it would miss its deadline, and soon if the issuer does not answer', async () => {
		// A refusal shortly before the deadline leaves the caller no time to go
		// elsewhere. Both refusals must come with much of the wait left.
		let silent = false;
		const fleet = createFleet({limits: [limit], settings, delays: () => silent ? [] : [1]});
		await startAll(fleet);
		const issuer = issuerOf(fleet);
		const holder = issuer === 'a' ? 'b' : 'a';
		await spendAll(fleet, ['a', 'b', 'c']);
		const hopeless = fleet.ask(holder, {workspace, tokens: 9000, longestWaitMs: 5000});
		await clock.tickAsync(5000);
		const refused = await hopeless;
		assert.isFalse(refused?.granted);
		assert.isBelow(refused?.tookMs ?? Number.POSITIVE_INFINITY, 20);
		silent = true;
		const unanswered = fleet.ask(holder, {workspace, tokens: 9000, longestWaitMs: 20_000});
		await clock.tickAsync(20_000);
		const second = await unanswered;
		assert.isFalse(second?.granted);
		assert.isAtMost(second?.tookMs ?? Number.POSITIVE_INFINITY, 401);
		fleet.close();
	});

	it('enforce a lowered limit once the holders have confirmed it', async () => {
		// Holders have shares of the old limit when a lower one takes effect. The old
		// limit bounds every window until they have confirmed, the new one after.
		const fleet = createFleet({limits: [limit], settings});
		await startAll(fleet);
		for (let round = 0; round < 100; round += 1) {
			void fleet.ask(['a', 'b', 'c'][round % 3], {workspace, tokens: 80, longestWaitMs: 50});
			await clock.tickAsync(100);
		}

		await holdTokens(fleet, 'b');
		const lower = {...limit, tokensPerSecond: 100, burstTokens: 2000};
		fleet.setLimits([lower]);
		await clock.tickAsync(1000);
		const before = fleet.charges.length;
		for (let round = 0; round < 10; round += 1) {
			await spendAll(fleet, ['a', 'b', 'c'], 50);
		}

		assertWithin(fleet);
		assert.isBelow(largestExcess(fleet.charges.slice(before), lower), roundingTokens);
		fleet.close();
	});

	it('pay overuse back from the whole workspace', async () => {
		// A request used far more than it reserved. Later requests on any daemon
		// must wait until the rate has paid it back.
		const fleet = createFleet({limits: [limit], settings});
		await startAll(fleet);
		void fleet.ask('a', {
			workspace, tokens: 1000, longestWaitMs: 500, usedShare: 6, settleAfterMs: 10,
		});
		await clock.tickAsync(1000);
		assert.isAtMost(await spendAll(fleet, ['b', 'c']), 10_000 - 6000 + 2000);
		fleet.close();
	});

	it('hand over all shares and tokens on a graceful stop', async () => {
		// Daemons stop one after the other; no token may be lost with them.
		const fleet = createFleet({limits: [limit], settings});
		await startAll(fleet);
		const issuer = issuerOf(fleet);
		const [holder, last] = ['a', 'b', 'c'].filter(name => name !== issuer);
		await holdTokens(fleet, holder);
		for (const name of [issuer, holder]) {
			void fleet.daemons.get(name)?.limiter.returnShares();
			await clock.tickAsync(300);
			fleet.remove(name);
		}

		await clock.tickAsync(1500);
		assert.isAtLeast(await spendAll(fleet, [last]), limit.burstTokens * 0.9);
		assertWithin(fleet);
		fleet.close();
	});
});
