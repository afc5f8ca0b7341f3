import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createLineBudget} from '../../observability.js';

describe('createLineBudget', () => {
	it('limits each kind separately and counts dropped lines', () => {
		// A burst has far more successful responses than the budget allows; the line
		// of a failure among them must still be written.
		const clock = FakeTimers.install({toFake: ['performance']});
		const budget = createLineBudget({perSecond: {answered: 3, other: 5}});
		const taken = Array.from({length: 100}, () => budget.take('answered')).filter(Boolean);
		assert.lengthOf(taken, 3);
		assert.isTrue(budget.take('failed'));
		assert.equal(budget.takeDroppedCount(), 97);
		clock.tick(1000);
		assert.isTrue(budget.take('answered'));
		assert.equal(budget.takeDroppedCount(), 0);
		clock.uninstall();
	});
});
