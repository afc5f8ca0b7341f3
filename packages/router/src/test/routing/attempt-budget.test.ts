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

	it('grants a fixed number on top of the share where both are allowed together', () => {
		// Crashed endpoints fail one request in six. With the larger of the two
		// parts alone, a third of the repeats that are allowed would be refused.
		const budget = createRetryBudget({share: 0.2, fewest: 4, isFewestExtra: true});
		for (let count = 0; count < 50; count++) {
			budget.deposit();
		}

		assert.equal(spend(budget), 14);
		clock.tick(11_000);
		assert.equal(spend(budget), 4);
	});

	it('asks anew for the fixed number, which grows while a process that was started again lives', () => {
		let fewest = 0;
		const budget = createRetryBudget({share: 0.2, fewest: () => fewest, isFewestExtra: true});
		assert.equal(spend(budget), 0);
		fewest = 3;
		assert.equal(spend(budget), 3);
	});
});
