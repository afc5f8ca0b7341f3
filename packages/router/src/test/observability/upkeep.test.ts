import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createServiceLevels, createServiceLevelUpkeep, ownerOfSpan} from '../../observability.js';
import {createMemoryObjects} from './memory-objects.js';

const start = Date.UTC(2026, 0, 5, 9);
const names = ['hw-1', 'hw-2', 'hw-3'];

describe('createServiceLevelUpkeep', () => {
	it('spreads spans over daemons, and reassigns only those of a removed daemon', () => {
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

	// Guards against overloading the store: if every daemon read every object to merge
	// it, all but one would discard the result.
	it('reads and merges a span on one daemon only', async () => {
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

	it('continues after the store was unavailable', async () => {
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
