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
	// There is no snapshot and no peer, so no source has the missing part. The daemon
	// must be ready after the minimum of one second instead of the maximum of five;
	// waiting longer would only delay callers.
	it('does not wait for parts that no source has', async () => {
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

	// A known peer that is slow to answer may have the missing part.
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
