import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type ObjectClient} from '../../platform.js';
import {createRecovery} from '../../recovery.js';

const emptyStore: ObjectClient = {
	put: async () => true,
	get: async () => undefined,
	list: async () => [],
	remove: async () => undefined,
};

describe('recovery of the first daemon of a fleet', () => {
	// The balancer sees the daemon ready after a second, not after five. There
	// is no snapshot yet and no peer that could have one, so waiting longer for
	// what is missing would only keep callers out.
	it('does not wait for what no source has', async () => {
		const clock = FakeTimers.install();
		try {
			const recovery = createRecovery({
				objects: emptyStore,
				send: () => undefined,
				peers: () => ({nearby: [], distant: [], rank: 0}),
				parts: [{name: 'routing', exportContent: () => undefined, importContent: () => undefined}],
				canServe: () => true,
				holdsDuty: () => false,
			});
			const recovering = recovery.recover();
			await clock.tickAsync(1200);
			const {timeToServeMs} = await Promise.race([recovering, Promise.resolve({timeToServeMs: Number.POSITIVE_INFINITY})]);
			assert.isAtMost(timeToServeMs, 1200);
			recovery.stop();
		} finally {
			clock.uninstall();
		}
	});

	// A peer is known and slow to answer: what it knows is worth the wait.
	it('waits for a peer that has not answered', async () => {
		const clock = FakeTimers.install();
		try {
			const recovery = createRecovery({
				objects: emptyStore,
				send: () => undefined,
				peers: () => ({nearby: ['vm-2'], distant: [], rank: 0}),
				parts: [{name: 'routing', exportContent: () => undefined, importContent: () => undefined}],
				canServe: () => true,
				holdsDuty: () => false,
			});
			const recovering = recovery.recover();
			await clock.tickAsync(6000);
			const {timeToServeMs} = await recovering;
			assert.isAtLeast(timeToServeMs, 5000);
			recovery.stop();
		} finally {
			clock.uninstall();
		}
	});
});
