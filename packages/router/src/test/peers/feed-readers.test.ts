import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createFeedReaders} from '../../peers.js';

const silenceMs = 1400;

const namesOf = (count: number): string[] => Array.from({length: count}, (_item, index) => `vm-${index + 1}`);

describe('createFeedReaders', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** The election as seen by each daemon, with all others as live peers. */
	const openGroup = (names: readonly string[]) => new Map(names.map(name => [name, createFeedReaders({
		name, table: 'endpoints', peers: () => names.filter(other => other !== name), silenceMs,
	})]));

	const readersOf = (group: ReturnType<typeof openGroup>): string[] => [...group].filter(([, readers]) => readers.dueInMs() === 0).map(([name]) => name);

	it('elects one or two readers, however large the group is', () => {
		assert.deepEqual([1, 9, 16, 17, 33, 200].map(count => readersOf(openGroup(namesOf(count))).length), [1, 1, 1, 2, 2, 2]);
	});

	it('elects the readers of each table independently', () => {
		const tables = Array.from({length: 20}, (_item, index) => `table-${index}`);
		const names = namesOf(9);
		const readers = tables.map(table => names.find(name => createFeedReaders({
			name, table, peers: () => names.filter(other => other !== name), silenceMs,
		}).isFirstChoice()));
		assert.isAbove(new Set(readers).size, 3);
	});

	it('elects no further readers while the readers relay', () => {
		const group = openGroup(namesOf(33));
		const readers = readersOf(group);
		for (let at = 0; at < 10_000; at += 1000) {
			clock.tick(1000);
			for (const [name, member] of group) {
				for (const reader of readers) {
					if (reader !== name) {
						member.relayed(reader);
					}
				}
			}
		}

		assert.deepEqual(readersOf(group), readers);
	});

	it('lets daemons step in one after the other for a silent reader', () => {
		// If all stepped in at once, a lost reader would cost one store call per daemon.
		const group = openGroup(namesOf(16));
		clock.tick(silenceMs);
		assert.equal(readersOf(group).length, 1);
		clock.tick(100);
		assert.equal(readersOf(group).length, 2);
		clock.tick(100);
		assert.equal(readersOf(group).length, 3);
	});

	it('stops reading once a higher-ranked reader relays again', () => {
		const group = openGroup(namesOf(9));
		const [first] = readersOf(group);
		clock.tick(silenceMs + 100);
		const standIn = readersOf(group).find(name => name !== first)!;
		group.get(standIn)!.relayed(first);
		assert.equal(group.get(standIn)!.dueInMs(), silenceMs + 100);
	});
});
