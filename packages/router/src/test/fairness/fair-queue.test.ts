import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {
	createFairQueue, type FairQueue, type QueueEntry, type QueueResult, type QueueTicket,
} from '../../fairness.js';

const quiet = new AbortController().signal;
const entryOf = (workspace: string, more: Partial<QueueEntry> = {}): QueueEntry => ({
	workspace, weight: 1, cost: 1000, longestWaitMs: 600_000, signal: quiet, ...more,
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

	/** Notes the order in which entries get their turn; each turn ends at once. */
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

	// A small workspace's caller waits for one turn at most. The large one has
	// 50 requests in line before it; they wait behind each other, not before it.
	it('lets a small workspace pass the line of a large one', async () => {
		const entries = [...Array.from({length: 50}, () => entryOf('large')), entryOf('small')];
		const order = await orderOf(queueOf(1), entries);
		assert.isAtMost(order.indexOf('small'), 1);
	});

	// Counting requests would favour whoever sends long ones: turns go by
	// tokens, so four short requests weigh as much as one long one.
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

	// The caller gets its refusal at once. Its wait would end past its
	// deadline, so waiting would only keep it from asking elsewhere.
	it('refuses at once what would be late', async () => {
		const queue = queueOf(1);
		await queue.enter(entryOf('a'));
		for (let count = 0; count < 20; count++) {
			void queue.enter(entryOf('a'));
		}

		const result = await queue.enter(entryOf('a', {longestWaitMs: 100}));
		assert.equal(refusalOf(result), 'late');
		assert.isAbove((result as {retryAfterMs: number}).retryAfterMs, 100);
	});

	it('answers a waiting request at the moment its time is over', async () => {
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

	it('bounds the line of each workspace without touching the others', async () => {
		const queue = queueOf(1, {mostWaitingPerWorkspace: 2});
		await queue.enter(entryOf('a'));
		void queue.enter(entryOf('a'));
		void queue.enter(entryOf('a'));
		assert.equal(refusalOf(await queue.enter(entryOf('a'))), 'full');
		void queue.enter(entryOf('b'));
		await clock.tickAsync(0);
		assert.equal(queue.waiting, 3);
	});

	it('takes out a request whose caller has gone', async () => {
		const queue = queueOf(1);
		await queue.enter(entryOf('a'));
		const caller = new AbortController();
		const result = queue.enter(entryOf('b', {signal: caller.signal}));
		caller.abort();
		assert.equal(refusalOf(await result), 'gone');
	});

	// A small workspace's caller starts at once. The large one has asked for more
	// turns than there are; some are kept for whoever runs less than its part,
	// so nobody has to wait for one of the large one's long requests to end.
	it('keeps turns free for a workspace that runs little', async () => {
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

	// Engines compute prompts by priority. Were all equal, a short prompt would
	// wait in the engine behind every long one that another workspace has there.
	it('gives a lower priority to a workspace with much under way', async () => {
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

	it('never runs more than its limit and forgets nobody, whatever ends how', async () => {
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
