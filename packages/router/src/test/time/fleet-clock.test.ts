import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createFleetClock, type FleetClock} from '../../fleet.js';

describe('createFleetClock', () => {
	let clock: FakeTimers.Clock;
	let fleetClock: FleetClock;
	/** The store's clock when the process's own one showed 0, and the generation that it belongs to. */
	let store: {startMs: number; generation: number} | undefined;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
		store = undefined;
		fleetClock = createFleetClock({
			clockMs: () => store && store.startMs + performance.now(),
			generation: () => store?.generation ?? 0,
			observeClock: () => undefined,
		});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('is the process\'s own clock until the store has answered, and goes on from there', () => {
		const start = fleetClock.now();
		clock.tick(500);
		store = {startMs: 1_000_000, generation: 1};
		assert.equal(fleetClock.now() - start, 500);
		clock.tick(500);
		assert.equal(fleetClock.now() - start, 1000);
	});

	it('jumps forward by the time that the process did not count, and never back', () => {
		store = {startMs: 1_000_000, generation: 1};
		const start = fleetClock.now();
		store.startMs += 4000;
		assert.equal(fleetClock.now() - start, 4000);
		store.startMs -= 1000;
		assert.equal(fleetClock.now() - start, 4000);
	});

	it('goes on evenly while the store is unknown, and when it comes back with another clock', () => {
		// Guards against ages that change when the store comes back from an older copy.
		store = {startMs: 1_000_000, generation: 1};
		const start = fleetClock.now();
		store = undefined;
		clock.tick(300);
		assert.equal(fleetClock.now() - start, 300);
		store = {startMs: 5, generation: 2};
		assert.equal(fleetClock.now() - start, 300);
		clock.tick(200);
		assert.equal(fleetClock.now() - start, 500);
	});
});
