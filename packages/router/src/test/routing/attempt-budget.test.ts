import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createRetryBudget} from '../../routing.js';

describe('createRetryBudget', () => {
	let clock: FakeTimers.Clock;

	const spend = (budget: ReturnType<typeof createRetryBudget>): number => {
		let granted = 0;
		while (budget.withdraw()) {
			granted++;
		}

		return granted;
	};

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('adds the minimum to the share if isMinimumAdded is set', () => {
		// Crashed endpoints fail one request in six. If only the larger of the two
		// parts counted, a third of the permitted retries would be refused.
		const budget = createRetryBudget({share: 0.2, minimum: 4, isMinimumAdded: true});
		for (let count = 0; count < 50; count++) {
			budget.deposit();
		}

		assert.equal(spend(budget), 14);
		clock.tick(11_000);
		assert.equal(spend(budget), 4);
	});

	it('remembers further attempts for a whole window, wherever its slices begin', () => {
		// Guards against a budget that is spent twice within a window.
		const budget = createRetryBudget({minimum: 3});
		clock.tick(990);
		assert.equal(spend(budget), 3);
		clock.tick(9990);
		assert.equal(spend(budget), 0);
		clock.tick(1020);
		assert.equal(spend(budget), 3);
	});

	it('calls the function for the minimum at each withdrawal, as it grows with the uptime of a restarted process', () => {
		let minimum = 0;
		const budget = createRetryBudget({share: 0.2, minimum: () => minimum, isMinimumAdded: true});
		assert.equal(spend(budget), 0);
		minimum = 3;
		assert.equal(spend(budget), 3);
	});
});
