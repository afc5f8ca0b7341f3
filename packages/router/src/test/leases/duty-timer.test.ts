import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createDutyTimer} from '../../leases.js';

describe('createDutyTimer', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['setInterval', 'clearInterval']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('runs only while the lease is held, and wakes no daemon without it', () => {
		let isHeld = false;
		let ticks = 0;
		const timer = createDutyTimer({
			everyMs: 100, isHeld: () => isHeld, tick() {
				ticks++;
			},
		});
		assert.equal(clock.countTimers(), 0);
		isHeld = true;
		timer.start();
		timer.start();
		clock.tick(1000);
		assert.equal(ticks, 10);
		isHeld = false;
		clock.tick(1000);
		assert.deepEqual([ticks, clock.countTimers()], [10, 0]);
		isHeld = true;
		timer.start();
		clock.tick(100);
		assert.equal(ticks, 11);
		timer.close();
		assert.equal(clock.countTimers(), 0);
	});
});
