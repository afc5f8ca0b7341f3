import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	type ChangeFeed, type ChangeSource, type FeedRelay, followChanges, HistoryGoneError, type RelayedRow,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {createFeedReaders, type FeedReaders} from '../../peers.js';

const waitMs = 1000;
const answerMs = 400;
const trustMs = 1400;
const relayMs = 100;
const maxTransitMs = 20;
/** A change must be in force everywhere after this time. */
const boundMs = 2000;

/** A table of the store, with a history. */
function createTable() {
	const rows = new Map<string, {version: number; text: string | undefined}>();
	const waiting = new Set<() => void>();
	let version = 1;
	let historyFrom = 0;
	const wake = (): void => {
		for (const look of waiting) {
			look();
		}
	};

	const changesAfter = (after: number) => [...rows].filter(([, row]) => row.version > after)
		.map(([key, {version: changedIn, text}]) => ({
			key, version: changedIn, item: text, text,
		}))
		.toSorted((a, b) => a.version - b.version);

	return {
		put(key: string, text: string | undefined) {
			version++;
			rows.set(key, {version, text});
			wake();
		},
		/** A transaction of another table. */
		advance() {
			version++;
		},
		dropHistory() {
			historyFrom = version;
			wake();
		},
		read: () => ({version, changes: changesAfter(0).filter(({text}) => text !== undefined)}),
		async feed(after: number, wait: number) {
			const check = (): void => {
				if (after < historyFrom) {
					throw new HistoryGoneError('gone');
				}
			};

			check();
			if (wait > 0 && changesAfter(after).length === 0) {
				await new Promise<void>(resolve => {
					const finish = (): void => {
						waiting.delete(finish);
						clearTimeout(timer);
						resolve();
					};

					const timer = setTimeout(finish, wait);
					waiting.add(finish);
				});
				check();
			}

			return {version, changes: changesAfter(after)};
		},
	};
}

describe('a table that a fleet follows together', () => {
	let clock: FakeTimers.Clock;
	let table: ReturnType<typeof createTable>;
	let fleet: Map<string, ReturnType<typeof startDaemon>>;
	let calls: number;
	let random: () => number;
	/** Daemons that the store doesn't answer, and whose datagrams are lost. */
	let withoutStore: Set<string>;
	let stopped: Set<string>;
	let lossRatio: number;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		const generator = xoroshiro128plus(26);
		random = () => (generator.next() >>> 0) / (2 ** 32); // eslint-disable-line no-bitwise
		table = createTable();
		fleet = new Map();
		calls = 0;
		withoutStore = new Set();
		stopped = new Set();
		lossRatio = 0;
	});

	afterEach(() => {
		for (const {feed} of fleet.values()) {
			feed.close();
		}

		clock.uninstall();
	});

	const startDaemon = (name: string, names: readonly string[]) => {
		const rows = new Map<string, string>();
		const seenAt = new Map<string, number>();
		const unseenMs = new Map<string, number>();
		const readers: FeedReaders = createFeedReaders({
			name, table: 'endpoints', peers: () => names.filter(other => other !== name && !stopped.has(other)), silenceMs: trustMs,
		});
		const ask = async <Answer>(limitMs: number, work: () => Promise<Answer>): Promise<Answer> => {
			calls++;
			if (withoutStore.has(name) || stopped.has(name)) {
				await new Promise((_resolve, reject) => {
					setTimeout(reject, limitMs, new Error('silent'));
				});
			}

			return work();
		};

		const note = (key: string, text: string | undefined): void => {
			if (text === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, text);
			}

			const seen = `${key} ${text}`;
			seenAt.set(seen, seenAt.get(seen) ?? performance.now());
		};

		const source: ChangeSource<string> = {
			list: async limitMs => ask(limitMs, async () => table.read()),
			changes: async (after, wait, limitMs) => ask(limitMs, async () => table.feed(after, wait)),
			decode: ([key, version, text]: RelayedRow) => ({
				key, version, item: text ?? undefined, text: text ?? undefined,
			}),
		};
		const feed: ChangeFeed = followChanges({
			name,
			source,
			handler: {
				replace(all) {
					rows.clear();
					for (const {key, item} of all) {
						note(key, item);
					}
				},
				update(changed, atMostMs) {
					for (const {key, item} of changed) {
						unseenMs.set(key, Math.max(unseenMs.get(key) ?? 0, atMostMs));
						note(key, item);
					}
				},
			},
			waitMs: () => waitMs,
			answerMs,
			restMs: 0,
			sharing: {
				readerInMs: readers.dueInMs,
				isFirstChoice: readers.isFirstChoice,
				relayed: readers.relayed,
				trustMs,
				relayMs,
				relay(relay) {
					send(name, relay);
				},
			},
			log: createSilentLog(),
		});
		return {
			feed, readers, rows, seenAt, unseenOf: (key: string) => unseenMs.get(key) ?? Number.NaN,
		};
	};

	const deliver = (from: string, to: string, relay: FeedRelay): void => {
		if (!stopped.has(to)) {
			fleet.get(to)!.feed.relayed(from, relay);
		}
	};

	const send = (from: string, relay: FeedRelay): void => {
		for (const to of fleet.keys()) {
			if (to !== from && !stopped.has(from) && random() >= lossRatio) {
				setTimeout(deliver, random() * maxTransitMs, from, to, relay);
			}
		}
	};

	const startFleet = async (count: number): Promise<void> => {
		table.put('e0', 'ready');
		const names = Array.from({length: count}, (_item, index) => `vm-${index + 1}`);
		for (const name of names) {
			fleet.set(name, startDaemon(name, names));
		}

		await clock.tickAsync(5000);
		calls = 0;
	};

	const readerNames = (): string[] => [...fleet].filter(([name, {readers}]) => !stopped.has(name) && readers.dueInMs() === 0).map(([name]) => name);

	/** Milliseconds until the last daemon that runs has seen a new row. */
	const spreadMs = async (key: string, text: string | undefined): Promise<number> => {
		const from = performance.now();
		table.put(key, text);
		await clock.tickAsync(6000);
		const times = [...fleet].filter(([name]) => !stopped.has(name)).map(([, {seenAt}]) => seenAt.get(`${key} ${text}`) ?? Number.POSITIVE_INFINITY);
		return Math.max(...times) - from;
	};

	const assertAllAgree = (): void => {
		const expected = Object.fromEntries(table.read().changes.map(({key, text}) => [key, text]));
		for (const [name, {rows}] of fleet) {
			if (!stopped.has(name)) {
				assert.deepEqual(Object.fromEntries(rows), expected, name);
			}
		}
	};

	/** Plays a minute with a change each ten seconds; returns the calls of each reader. */
	const playMinute = async (count: number): Promise<number> => {
		await startFleet(count);
		for (let second = 0; second < 60; second++) {
			await clock.tickAsync(1000);
			table.advance();
			if (second % 10 === 0) {
				table.put(`e${second}`, 'ready');
			}
		}

		assertAllAgree();
		return calls / readerNames().length;
	};

	for (const count of [9, 33, 200]) {
		it(`costs the store the calls of its readers alone, with ${count} daemons`, async () => {
			// One call in each wait, and one for each change.
			assert.isAtMost(await playMinute(count), 60 + 6 + 1);
		});
	}

	it('brings a change to all daemons at once, as new', async () => {
		await startFleet(33);
		assert.isAtMost(await spreadMs('e1', 'leaving'), maxTransitMs);
		assert.deepEqual([...new Set([...fleet.values()].map(({unseenOf}) => unseenOf('e1')))], [0]);
	});

	it('brings a change in time though all readers stop right before it', async () => {
		await startFleet(33);
		for (const name of readerNames()) {
			stopped.add(name);
		}

		assert.isBelow(await spreadMs('e1', 'leaving'), boundMs);
	});

	it('brings a change in time though the store answers no reader any more', async () => {
		// Peers hear a reader that is cut off from the store alone, so its reports tell them nothing.
		await startFleet(33);
		withoutStore = new Set(readerNames());
		assert.isBelow(await spreadMs('e1', 'leaving'), boundMs);
		await clock.tickAsync(10_000);
		calls = 0;
		await clock.tickAsync(10_000);
		assert.isBelow(calls, 100, 'others read for the group');
	});

	it('takes back an endpoint that one daemon alone missed', async () => {
		await startFleet(33);
		lossRatio = 0.3;
		for (let round = 0; round < 40; round++) {
			table.put(`e${round % 7}`, round % 3 === 0 ? undefined : `ready ${round}`);
			await clock.tickAsync(random() * 500);
		}

		await clock.tickAsync(boundMs);
		assertAllAgree();
	});

	it('lists anew where the history is gone, and tells peers what has vanished', async () => {
		await startFleet(33);
		table.put('e1', 'ready');
		await clock.tickAsync(100);
		table.put('e1', undefined);
		table.dropHistory();
		await clock.tickAsync(boundMs);
		assertAllAgree();
	});

	it('asks the store itself for a row that is too large to relay', async () => {
		await startFleet(33);
		assert.isBelow(await spreadMs('document', 'x'.repeat(40_000)), boundMs);
		assertAllAgree();
	});

	it('presses a store that is down with few calls, and follows it again in time', async () => {
		await startFleet(200);
		withoutStore = new Set(fleet.keys());
		await clock.tickAsync(5000);
		calls = 0;
		await clock.tickAsync(10_000);
		// Timeouts of 400 ms and a backoff of 1,400 ms; two readers back off for 400 ms.
		assert.isAtMost(calls, (198 * 6) + (2 * 13));
		withoutStore.clear();
		assert.isBelow(await spreadMs('e1', 'leaving'), boundMs);
		await clock.tickAsync(10_000);
		calls = 0;
		await clock.tickAsync(10_000);
		assert.isAtMost(calls, 40);
	});
});
