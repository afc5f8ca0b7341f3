import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {
	createHealthTracker, createHedgeBudget, createRetryBudget, type HealthTracker,
} from '../../routing.js';

const fail = (health: HealthTracker, name: string, times: number): void => {
	for (let count = 0; count < times; count++) {
		health.failed(name);
	}
};

describe('health and attempt budgets', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('ejects after consecutive failures, for longer each time, and ramps a returning endpoint up slowly', () => {
		const health = createHealthTracker({ejectionMs: 1000, returnMs: 4000});
		health.setEndpoints('wordsmith', ['a', 'b', 'c', 'd']);
		fail(health, 'a', 2);
		health.succeeded('a');
		fail(health, 'a', 2);
		assert.equal(health.healthOf('a'), 'healthy');
		health.failed('a');
		assert.equal(health.healthOf('a'), 'ejected');
		clock.tick(1000);
		assert.equal(health.healthOf('a'), 'returning');
		assert.equal(health.roomOf('a'), 1);
		clock.tick(2000);
		assert.equal(health.roomOf('a'), 5);
		health.failed('a');
		clock.tick(1999);
		assert.equal(health.healthOf('a'), 'ejected');
		clock.tick(4001);
		assert.equal(health.roomOf('a'), Infinity);
		assert.equal(health.healthOf('a'), 'healthy');
	});

	it('ejects by the share of failures when failures are not consecutive', () => {
		const health = createHealthTracker();
		health.setEndpoints('wordsmith', ['a', 'b']);
		for (let count = 0; count < 6; count++) {
			health.succeeded('a');
			health.failed('a');
		}

		assert.equal(health.healthOf('a'), 'ejected');
	});

	/*
	 * In a brown-out every endpoint fails now and then. Ejecting each of them would
	 * overload the rest until none is left, and refuse requests that could be served.
	 */
	it('never ejects more than a share of a service, nor its only endpoint', () => {
		const health = createHealthTracker({maxEjectedShare: 0.3});
		const names = Array.from({length: 10}, (_, index) => `e${index}`);
		health.setEndpoints('wordsmith', names);
		health.setEndpoints('single', ['only']);
		health.setEndpoints('pair', ['left', 'right']);
		for (const name of [...names, 'only', 'left', 'right']) {
			fail(health, name, 20);
		}

		assert.lengthOf(health.ejectedOf('wordsmith'), 3);
		assert.lengthOf(health.ejectedOf('single'), 0);
		assert.lengthOf(health.ejectedOf('pair'), 1);
	});

	/*
	 * In a brown-out every request fails. If each were retried without limit,
	 * endpoints would get several times their load and the brown-out would not end.
	 */
	it('limits retries to a share of recent requests in a brown-out', () => {
		const budget = createRetryBudget({share: 0.2, minimum: 3, windowMs: 10_000});
		let retries = 0;
		for (let request = 0; request < 1000; request++) {
			clock.tick(10);
			budget.deposit();
			for (let attempt = 0; attempt < 3 && budget.withdraw(); attempt++) {
				retries++;
			}
		}

		assert.isAtMost(retries, 200);
		assert.isAtLeast(retries, 180);
	});

	it('allows the minimum without traffic, and ignores attempts before the window', () => {
		const budget = createHedgeBudget({minimum: 1, windowMs: 1000});
		assert.isTrue(budget.withdraw());
		assert.isFalse(budget.withdraw());
		clock.tick(1100);
		assert.isTrue(budget.withdraw());
	});
});
