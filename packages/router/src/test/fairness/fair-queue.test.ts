import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {
	createFairQueue, type FairQueue, type QueueEntry, type QueueResult, type QueueTicket,
} from '../../fairness.js';

const neverAborted = new AbortController().signal;
const entryOf = (workspace: string, more: Partial<QueueEntry> = {}): QueueEntry => ({
	workspace, weight: 1, cost: 1000, longestWaitMs: 600_000, signal: neverAborted, ...more,
});

const refusalOf = (result: QueueResult | undefined) => (result?.granted === false ? result.reason : undefined);

describe('createFairQueue', () => {
	let clock: ReturnType<typeof FakeTimers.install>;
	beforeEach(() => {
		clock = FakeTimers.install();
	});
	afterEach(() => {
		clock.uninstall();
	});

	const queueOf = (limit: number, more: {mostWaitingPerWorkspace?: number} = {}) => createFairQueue({
		limit: () => limit, mostWaitingPerWorkspace: 1000, mostWaiting: 10_000, ...more,
	});

	async function hold(queue: FairQueue, entry: QueueEntry, holdMs: number, onAnswer: () => void): Promise<void> {
		const result = await queue.enter(entry);
		onAnswer();
		if (result.granted) {
			setTimeout(() => {
				result.ticket.release(entry.cost);
			}, holdMs);
		}
	}

	/** Returns the workspaces in the order in which their entries start; each entry ends at once. */
	async function orderOf(queue: FairQueue, entries: QueueEntry[]): Promise<string[]> {
		const first = await queue.enter(entryOf('first'));
		const order: string[] = [];
		const ends = entries.map(async entry => {
			const result = await queue.enter(entry);
			assert.isTrue(result.granted);
			order.push(entry.workspace);
			(result as {ticket: QueueTicket}).ticket.release(entry.cost);
		});
		(first as {ticket: QueueTicket}).ticket.release(1000);
		await Promise.all(ends);
		return order;
	}

	// Guards against a small workspace that waits behind all 50 queued requests of a large one.
	it('lets a small workspace wait for at most one queued request of a large one', async () => {
		const entries = [...Array.from({length: 50}, () => entryOf('large')), entryOf('small')];
		const order = await orderOf(queueOf(1), entries);
		assert.isAtMost(order.indexOf('small'), 1);
	});

	// Sharing by number of requests would favour workspaces that send long ones: by tokens, four
	// short requests here weigh as much as one long one.
	it('shares by tokens and weight, not by requests', async () => {
		const entries = [
			...Array.from({length: 20}, () => entryOf('long', {cost: 4000})),
			...Array.from({length: 80}, () => entryOf('short', {cost: 1000})),
			...Array.from({length: 160}, () => entryOf('heavy', {cost: 1000, weight: 2})),
		];
		const order = await orderOf(queueOf(1), entries);
		const firstPart = order.slice(0, 130);
		const count = (name: string) => firstPart.filter(item => item === name).length;
		assert.closeTo(count('long') * 4, count('short'), 4);
		assert.closeTo(count('heavy'), 2 * count('short'), 4);
	});

	// A wait that ends past the caller's deadline would only keep it from trying elsewhere.
	it('refuses at once a request that would be late', async () => {
		const queue = queueOf(1);
		await queue.enter(entryOf('a'));
		for (let count = 0; count < 20; count++) {
			void queue.enter(entryOf('a'));
		}

		const result = await queue.enter(entryOf('a', {longestWaitMs: 100}));
		assert.equal(refusalOf(result), 'late');
		assert.isAbove((result as {retryAfterMs: number}).retryAfterMs, 100);
	});

	it('refuses a waiting request at the moment its time is over', async () => {
		const queue = queueOf(1);
		await queue.enter(entryOf('a'));
		let result: QueueResult | undefined;
		void (async () => {
			result = await queue.enter(entryOf('b', {longestWaitMs: 1500}));
		})();

		await clock.tickAsync(1499);
		assert.isUndefined(result);
		await clock.tickAsync(1);
		assert.equal(refusalOf(result), 'late');
		assert.equal(queue.waiting, 0);
	});

	it('limits the waiting requests of each workspace separately', async () => {
		const queue = queueOf(1, {mostWaitingPerWorkspace: 2});
		await queue.enter(entryOf('a'));
		void queue.enter(entryOf('a'));
		void queue.enter(entryOf('a'));
		assert.equal(refusalOf(await queue.enter(entryOf('a'))), 'full');
		void queue.enter(entryOf('b'));
		await clock.tickAsync(0);
		assert.equal(queue.waiting, 3);
	});

	it('removes a request whose caller has disconnected', async () => {
		const queue = queueOf(1);
		await queue.enter(entryOf('a'));
		const caller = new AbortController();
		const result = queue.enter(entryOf('b', {signal: caller.signal}));
		caller.abort();
		assert.equal(refusalOf(await result), 'gone');
	});

	// Guards against a large workspace that takes all slots, so that requests of others wait for
	// one of its long requests to end. Some slots are reserved for workspaces that run less than
	// their share.
	it('reserves slots for a workspace that runs few requests', async () => {
		const queue = queueOf(8);
		for (let count = 0; count < 20; count++) {
			void queue.enter(entryOf('large'));
		}

		await clock.tickAsync(0);
		let small: QueueResult | undefined;
		void (async () => {
			small = await queue.enter(entryOf('small'));
		})();

		await clock.tickAsync(0);
		assert.isTrue(small?.granted);
	});

	// Engines compute prompts by priority. With equal priorities a short prompt would wait in the
	// engine behind all long ones of another workspace.
	it('gives a lower priority to a workspace with many outstanding tokens', async () => {
		const queue = queueOf(32);
		let last: QueueResult | undefined;
		for (let count = 0; count < 6; count++) {
			last = await queue.enter(entryOf('large', {cost: 10_000}));
		}

		const small = await queue.enter(entryOf('small', {cost: 4000}));
		const priorityOf = (result: QueueResult | undefined) => (result?.granted ? result.ticket.priority : -1);
		assert.equal(priorityOf(small), 0);
		assert.isAbove(priorityOf(last), 3);
	});

	it('never runs more than its limit and settles every request, however each one ends', async () => {
		const step = fc.record({
			workspace: fc.constantFrom('a', 'b', 'c'),
			cost: fc.integer({min: 1, max: 5000}),
			longestWaitMs: fc.integer({min: 1, max: 5000}),
			holdMs: fc.integer({min: 0, max: 2000}),
			gapMs: fc.integer({min: 0, max: 300}),
			goneMs: fc.option(fc.integer({min: 0, max: 3000})),
		});
		await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
			const queue = queueOf(3);
			let most = 0;
			let answered = 0;
			const noteAnswer = () => {
				answered++;
				most = Math.max(most, queue.running);
			};

			for (const {gapMs, goneMs, holdMs, ...more} of steps) {
				const caller = new AbortController();
				if (goneMs !== null) {
					setTimeout(() => {
						caller.abort();
					}, goneMs);
				}

				void hold(queue, {weight: 1, signal: caller.signal, ...more}, holdMs, noteAnswer);
				await clock.tickAsync(gapMs);
			}

			await clock.tickAsync(20_000);
			assert.equal(answered, steps.length);
			assert.isAtMost(most, 3);
			assert.equal(queue.running, 0);
			assert.equal(queue.waiting, 0);
		}), {seed: 1, numRuns: 100});
	});
});
