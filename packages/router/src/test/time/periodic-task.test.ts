import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createPeriodicTask} from '../../time.js';

describe('createPeriodicTask', () => {
	it('leaves out turns while a run lasts, goes on after one that failed, and ends when closed', async () => {
		const clock = FakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
		const startedAt: number[] = [];
		const errors: unknown[] = [];
		const task = createPeriodicTask({
			firstMs: 10,
			everyMs: 100,
			async run() {
				startedAt.push(clock.now);
				await new Promise(resolve => {
					setTimeout(resolve, 150);
				});
				throw new Error(`Run ${startedAt.length} failed.`);
			},
			onError(error) {
				errors.push(error);
			},
		});
		task.start();
		await clock.tickAsync(500);
		task.close();
		await clock.tickAsync(500);
		clock.uninstall();
		assert.deepEqual(startedAt, [10, 200, 400]);
		assert.lengthOf(errors, 3);
	});
});
