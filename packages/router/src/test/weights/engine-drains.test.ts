import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createEngineDrains} from '../../lib/weights/engine-drains.js';
import {createEngineVersions} from '../../weights.js';
import {collectUncaught} from '../collect-uncaught.js';
import {endpointNamed} from '../paths/endpoint-named.js';

describe('createEngineDrains', () => {
	it('trusts the report of an empty queue although the announcement of the drain failed', async () => {
		// Guards against engines that stand idle for the longest drain because of an error in this daemon.
		const uncaught = collectUncaught();
		const clock = FakeTimers.install({toFake: ['performance']});
		const drains = createEngineDrains({
			versions: createEngineVersions(), remainingMs: () => 0, hasUnstarted: () => false, daemons: () => 3,
			async announce() {
				throw new Error('Thrown by a test.');
			},
		});
		const task = {endpoint: endpointNamed('e1'), model: 'm', version: 2};
		const state = {waiting: 0, maxQueueWaitMs: 10_000};
		assert.isFalse(drains.isQueueDone(task, state));
		await uncaught.restore();
		clock.tick(1000);
		assert.isTrue(drains.isQueueDone(task, state));
		clock.uninstall();
	});
});
