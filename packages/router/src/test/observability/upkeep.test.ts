import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createServiceLevels, createServiceLevelUpkeep, ownerOfSpan} from '../../observability.js';
import {createMemoryObjects} from './memory-objects.js';

const start = Date.UTC(2026, 0, 5, 9);
const names = ['hw-1', 'hw-2', 'hw-3'];

describe('createServiceLevelUpkeep', () => {
	it('spreads spans over daemons, and moves only those of a daemon that is gone', () => {
		const spans = Array.from({length: 300}, (_, index) => start + (index * 600_000));
		const owners = spans.map(span => ownerOfSpan('slot', span, names));
		for (const name of names) {
			assert.isAbove(owners.filter(owner => owner === name).length, 60);
		}

		for (const [index, span] of spans.entries()) {
			const without = ownerOfSpan('slot', span, ['hw-3', 'hw-1']);
			assert.equal(without, owners[index] === 'hw-2' ? without : owners[index]);
			assert.notEqual(without, 'hw-2');
		}
	});

	// The store answers nobody else, because every daemon of the fleet reads
	// every object to merge it, and all but one throw their work away.
	it('lets one daemon merge a span and the others leave it alone', async () => {
		const clock = FakeTimers.install({now: start, toFake: ['Date', 'setTimeout', 'clearTimeout']});
		try {
			const objects = createMemoryObjects();
			const levels = createServiceLevels({daemon: 'hw-1', incarnation: '1', objects});
			levels.record({workspace: 'school-1', service: 'wordsmith', result: 'answered'});
			await levels.flush();
			const readers = new Set<string>();
			const upkeeps = names.map(daemon => createServiceLevelUpkeep({
				daemon,
				liveDaemons: () => names,
				objects: {
					...objects,
					async get(name) {
						readers.add(daemon);
						return objects.get(name);
					},
				},
				random: () => 0.5,
			}));
			for (const upkeep of upkeeps) {
				upkeep.start();
			}

			await clock.tickAsync(1_200_000);
			await Promise.all(upkeeps.map(async upkeep => upkeep.stop()));
			assert.equal(readers.size, 1);
			assert.match([...objects.store.keys()].join(','), /^service-levels\/slot\/[^,]+$/v);
		} finally {
			clock.uninstall();
		}
	});

	it('goes on after the store was out', async () => {
		const clock = FakeTimers.install({now: start, toFake: ['Date', 'setTimeout', 'clearTimeout']});
		try {
			const objects = createMemoryObjects();
			let calls = 0;
			objects.fault = () => {
				calls++;
				return calls < 3 ? 'down' : 'none';
			};

			const upkeep = createServiceLevelUpkeep({
				daemon: 'hw-1', liveDaemons: () => [], objects, random: () => 0,
			});
			upkeep.start();
			await clock.tickAsync(1_800_000);
			await upkeep.stop();
			assert.isAbove(calls, 3);
			const before = calls;
			await clock.tickAsync(1_800_000);
			assert.equal(calls, before, 'stopped');
		} finally {
			clock.uninstall();
		}
	});
});
