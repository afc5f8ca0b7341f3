import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {createRetryWindow, type RetryGrant, type RetryWindow} from '../../lib/retries/retry-window.js';

const windowMs = 10_000;
const share = 0.2;
const lengthMs = 60_000;

/** Requests at one daemon, sent up to so long before it records them, and repeats up to so long on their way to an endpoint. */
const lateMs = 500;

const historyArbitrary = fc.record({
	/** Parts of the daemons. */
	parts: fc.array(fc.nat(20), {minLength: 1, maxLength: 6}),
	bursts: fc.array(fc.record({
		daemon: fc.nat(5), at: fc.nat(lengthMs), requests: fc.nat(60), lateMs: fc.nat(lateMs - 1),
	}), {maxLength: 30}),
	/** Moments at which a daemon repeats as often as it may; the repeats are sent after a wait. */
	repeats: fc.array(fc.record({
		daemon: fc.nat(5), at: fc.nat(lengthMs), waitMs: fc.constantFrom(0, 300, 4000, 12_000), lateMs: fc.nat(lateMs - 1),
	}), {minLength: 1, maxLength: 40}),
});

const countIn = (times: readonly number[], from: number): number => times.filter(at => at >= from && at < from + windowMs).length;

describe('createRetryWindow', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	const createWindow = (part: number): RetryWindow => createRetryWindow({
		share, windowMs, part: () => part, now: () => performance.now(),
	});

	const reserveAll = (budget: RetryWindow): RetryGrant[] => {
		const grants: RetryGrant[] = [];
		for (let grant = budget.reserve(); grant !== undefined; grant = budget.reserve()) {
			grants.push(grant);
		}

		return grants;
	};

	it('keeps the sum over daemons within the bound in every window, wherever it begins', () => {
		// Guards against repeats that are forgotten before a window has ended, and counts of requests that the rule doesn't make.
		fc.assert(fc.property(historyArbitrary, ({parts, bursts, repeats}) => {
			const startedAt = performance.now();
			const budgets = parts.map(part => createWindow(part));
			const sentAt: number[] = [];
			const arrivedAt: number[] = [];
			const events: Array<{at: number; run: () => void}> = bursts.map(({daemon, at, requests, lateMs: ageMs}) => ({
				at,
				run() {
					for (let count = 0; count < requests; count++) {
						budgets[daemon % parts.length].recordRequest(0);
						sentAt.push(at - ageMs);
					}
				},
			}));
			for (const {daemon, at, waitMs, lateMs: transitMs} of repeats) {
				let grants: RetryGrant[] = [];
				events.push({
					at,
					run() {
						grants = reserveAll(budgets[daemon % parts.length]);
					},
				}, {
					at: at + waitMs,
					run() {
						arrivedAt.push(...grants.filter(grant => grant.use()).map(() => at + waitMs + transitMs));
					},
				});
			}

			for (const {at, run} of events.toSorted((a, b) => a.at - b.at)) {
				clock.tick(startedAt + at - performance.now());
				run();
			}

			const extra = parts.reduce((sum, part) => sum + part, 0);
			for (const from of arrivedAt) {
				const requests = Math.max(countIn(sentAt, from), countIn(sentAt, from - windowMs), countIn(sentAt, from - (windowMs / 2)));
				assert.isAtMost(countIn(arrivedAt, from), (share * requests) + extra);
			}
		}), {seed: 3, numRuns: 400});
	});

	it('counts a repeat when it is sent, however long ago it was granted', () => {
		// Guards against repeats that leave in a window in which they aren't counted.
		const budget = createWindow(2);
		const [first, second] = reserveAll(budget);
		clock.tick(windowMs * 2);
		assert.isUndefined(budget.reserve());
		assert.isTrue(first.use());
		assert.isTrue(second.use());
		clock.tick(windowMs * 0.99);
		assert.isUndefined(budget.reserve());
		clock.tick(windowMs * 0.2);
		assert.lengthOf(reserveAll(budget), 2);
	});

	it('refuses a granted repeat that would be one too many when it is sent', () => {
		let part = 2;
		const budget = createRetryWindow({
			share, windowMs, part: () => part, now: () => performance.now(),
		});
		const [first, second] = reserveAll(budget);
		part = 1;
		assert.isFalse(first.use());
		assert.isTrue(first.isReleased());
		assert.isFalse(first.use());
		assert.isTrue(second.use());
	});

	it('gives back what was granted and not sent, and counts a repeat once that is sent again since it reached nothing', () => {
		const budget = createWindow(2);
		const [first, second] = reserveAll(budget);
		first.release();
		assert.deepEqual(budget.counts(), {requests: 0, repeats: 1});
		assert.isTrue(second.use());
		clock.tick(1000);
		assert.isTrue(second.use());
		second.release();
		assert.deepEqual(budget.counts(), {requests: 0, repeats: 1});
		clock.tick(windowMs * 0.95);
		assert.deepEqual(budget.counts(), {requests: 0, repeats: 1});
		assert.lengthOf(reserveAll(budget), 1);
	});

	it('grants the whole share of steady traffic but for a tenth', () => {
		const budget = createWindow(0);
		let granted = 0;
		for (let at = 0; at < 6 * windowMs; at += 10) {
			clock.tick(10);
			budget.recordRequest(0);
			const used = reserveAll(budget).filter(grant => grant.use()).length;
			granted += at >= 3 * windowMs ? used : 0;
		}

		assert.isAtLeast(granted, 3 * windowMs / 10 * share * 0.9);
	});
});
