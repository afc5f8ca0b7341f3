import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {
	type ChangeFeed, type Changes, type ChangeSource, followChanges, HistoryGoneError,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';

const change = (key: string, version: number) => ({
	key, version, item: key, text: key,
});

const decode: ChangeSource<string>['decode'] = ([key, version, text]) => ({key, version, item: text ?? undefined});

describe('followChanges', () => {
	let clock: FakeTimers.Clock;
	let feed: ChangeFeed;
	let seen: string[];

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setImmediate']});
		seen = [];
	});

	afterEach(() => {
		feed.close();
		clock.uninstall();
	});

	/** Sends hints of ever newer changes for 10 s. */
	const hintOften = async (): Promise<void> => {
		for (let at = 0; at < 10_000; at += 12) {
			await clock.tickAsync(12);
			feed.hint(6 + at);
		}
	};

	const follow = (source: Omit<ChangeSource<string>, 'decode'>, coalesceMs = 0): ChangeFeed => followChanges({
		name: 'test',
		source: {...source, decode},
		handler: {
			replace(rows, unseenMs) {
				seen.push(`all ${rows.map(row => row.key).join('')} ${unseenMs}`);
			},
			update(rows, unseenMs) {
				seen.push(`${rows.map(row => row.key).join('')} ${Math.round(unseenMs)}`);
			},
		},
		waitMs: () => 800,
		timeoutMs: 400,
		coalesceMs,
		log: createSilentLog(),
	});

	it('counts changes in the answer to a repeated call as unseen since the answer before', async () => {
		// Guards against replaced weights that count as newly named, though they were named while the call had no answer.
		const outages: number[] = [];
		let polls = 0;
		feed = followChanges({
			name: 'test',
			source: {
				decode,
				list: async () => ({changes: [], version: 5}),
				async changes(_after, waitMs) {
					polls++;
					const isRepeated = polls === 1;
					await new Promise(resolve => {
						setTimeout(resolve, isRepeated ? waitMs + 3000 : waitMs);
					});
					return {changes: [change('a', 5 + polls)], version: 5 + polls, isRepeated};
				},
			},
			handler: {
				replace: () => undefined,
				update(_rows, unseenMs) {
					seen.push(String(Math.round(unseenMs)));
				},
				recovered(outageMs) {
					outages.push(Math.round(outageMs));
				},
			},
			waitMs: () => 800,
			timeoutMs: 400,
			coalesceMs: 0,
			log: createSilentLog(),
		});
		await clock.tickAsync(3800 + 800);
		assert.deepEqual(seen, ['3800', '0']);
		assert.deepEqual(outages, [3800]);
	});

	it('lists the table anew after its handler threw an error', async () => {
		// Guards against changes that are lost because the feed goes on after them.
		let lists = 0;
		let updates = 0;
		feed = followChanges({
			name: 'test',
			source: {
				decode,
				async list() {
					lists++;
					return {changes: [], version: 5};
				},
				async changes() {
					await new Promise(resolve => {
						setTimeout(resolve, 100);
					});
					return {changes: [change('a', 6)], version: 6};
				},
			},
			handler: {
				replace: () => undefined,
				update() {
					updates++;
					if (updates === 1) {
						throw new Error('failed');
					}
				},
			},
			waitMs: () => 800,
			timeoutMs: 400,
			coalesceMs: 0,
			log: createSilentLog(),
		});
		await clock.tickAsync(1000);
		assert.equal(lists, 2);
	});

	it('goes on after its schedule threw an error', async () => {
		// Guards against a table that is never read again, with keys that the operator has removed.
		let throwsLeft = 3;
		let calls = 0;
		feed = followChanges({
			name: 'test',
			source: {
				list: async () => ({changes: [change('a', 5)], version: 5}),
				async changes(_after, waitMs) {
					calls++;
					await new Promise(resolve => {
						setTimeout(resolve, waitMs);
					});
					return {changes: [], version: 5};
				},
				decode,
			},
			handler: {replace: () => undefined, update: () => undefined},
			sharing: {
				isFirstChoice: () => true,
				readerInMs() {
					if (throwsLeft > 0 && calls > 0) {
						throwsLeft--;
						throw new Error('Thrown by a test.');
					}

					return 0;
				},
				relay: () => undefined,
				relayed: () => undefined,
				freshMs: 1400,
				relayDelayMs: 100,
			},
			waitMs: () => 800,
			timeoutMs: 400,
			coalesceMs: 100,
			log: createSilentLog(),
		});
		await clock.tickAsync(500);
		const before = calls;
		await clock.tickAsync(10_000);
		assert.equal(throwsLeft, 0);
		assert.isAbove(calls, before + 1);
	});

	it('is refreshed by a read that begins after the call, which later calls share', async () => {
		// Guards against a confirmation that is older than the question.
		const reads: Array<(changes: Changes<string>) => void> = [];
		feed = follow({
			list: async () => ({changes: [change('a', 5)], version: 5}),
			changes: async (_after, waitMs) => new Promise(resolve => {
				if (waitMs === 0) {
					reads.push(resolve);
				}
			}),
		});
		assert.isFalse(await feed.refresh());
		await clock.tickAsync(10);
		const results: string[] = [];
		const refresh = async (name: string): Promise<void> => {
			results.push(`${name} ${await feed.refresh()}`);
		};

		for (const name of ['first', 'second', 'third']) {
			void refresh(name);
		}

		await clock.tickAsync(10);
		assert.lengthOf(reads, 1);
		reads[0]({changes: [], version: 5});
		await clock.tickAsync(10);
		assert.deepEqual(results, ['first true']);
		assert.lengthOf(reads, 2);
		reads[1]({changes: [change('b', 6)], version: 6});
		await clock.tickAsync(10);
		assert.sameMembers(results, ['first true', 'second true', 'third true']);
		assert.include(seen.join(' '), 'b');
	});

	it('is not refreshed by a store that does not respond', async () => {
		// Guards against a list that counts as confirmed while the store is out of reach.
		feed = follow(source([{changes: [change('a', 5)], version: 5}], []));
		await clock.tickAsync(10);
		const refreshed = feed.refresh();
		await clock.tickAsync(1000);
		assert.isFalse(await refreshed);
	});

	/** Responds to each poll from `answers`; once they are used up, polls time out. */
	const source = (list: Array<Changes<string>>, responses: Array<Changes<string> | Error>): Omit<ChangeSource<string>, 'decode'> => ({
		list: async () => list.shift()!,
		async changes(_after, _waitMs, limitMs) {
			const next = responses.shift();
			if (next === undefined) {
				await new Promise((_resolve, reject) => {
					setTimeout(reject, limitMs, new Error('silent'));
				});
			}

			if (next instanceof Error) {
				throw next;
			}

			return next!;
		},
	});

	it('lists the table once and then passes on changes', async () => {
		feed = follow(source([{version: 5, changes: [change('a', 3)]}], [{version: 6, changes: [change('b', 6)]}]));
		await clock.tickAsync(10);
		assert.deepEqual(seen, ['all a Infinity', 'b 0']);
		assert.equal(feed.newestChange(), 6);
	});

	it('lists the table again when the history is gone, and ignores an older listing', async () => {
		feed = follow(source(
			[{version: 5, changes: [change('a', 3)]}, {version: 4, changes: []}],
			[new HistoryGoneError('gone')],
		));
		await clock.tickAsync(10);
		assert.deepEqual(seen, ['all a Infinity']);
	});

	it('limits its calls to a store that has neither the history nor current rows', async () => {
		// Guards against a store that is asked again at once, as fast as it responds, by each daemon.
		let calls = 0;
		feed = follow({
			async list() {
				calls++;
				return {version: calls === 1 ? 5 : 4, changes: []};
			},
			async changes() {
				calls++;
				throw new HistoryGoneError('gone');
			},
		});
		await clock.tickAsync(10_000);
		assert.isBelow(calls, 70);
		assert.lengthOf(seen, 1);
	});

	it('polls again after a timeout, and reports the maximum age of the changes', async () => {
		// The connection is dead. The poll times out after `waitMs` plus `answerMs`, and the
		// next one returns the missed change.
		const responses: Array<Changes<string> | Error> = [];
		feed = follow(source([{version: 5, changes: []}], responses));
		await clock.tickAsync(1100);
		responses.push({version: 9, changes: [change('c', 9)]});
		await clock.tickAsync(200);
		assert.match(seen[1], /^c 12\d\d$/v);
	});

	it('polls immediately when a peer knows of a change that it has not seen', async () => {
		const responses: Array<Changes<string> | Error> = [];
		feed = follow(source([{version: 5, changes: []}], responses));
		await clock.tickAsync(300);
		responses.push({version: 9, changes: [change('d', 9)]});
		feed.hint(9);
		await clock.tickAsync(10);
		assert.match(seen[1], /^d 30\d$/v);
	});

	it('polls once for all hints within its pause', async () => {
		// While engines change weights, their rows change for seconds. Daemons pause at
		// different moments, so one always knows of a row that another is about to see. A
		// poll for each hint would cost a call per row and daemon.
		const rows = [change('a', 6)];
		let polls = 0;
		feed = follow({
			list: async () => ({version: 5, changes: []}),
			async changes(after, _waitMs, limitMs) {
				polls++;
				const newRows = rows.filter(row => row.version > after);
				if (newRows.length === 0) {
					await new Promise((_resolve, reject) => {
						setTimeout(reject, limitMs, new Error('silent'));
					});
				}

				return {version: rows.at(-1)!.version, changes: newRows};
			},
		}, 250);
		await clock.tickAsync(10);
		for (const version of [7, 8, 9]) {
			rows.push(change(`v${version}`, version));
			feed.hint(version);
			await clock.tickAsync(50);
		}

		await clock.tickAsync(500);
		assert.deepEqual(seen.slice(1).map(text => text.split(' ')[0]), ['a', 'v7v8v9']);
		assert.equal(polls, 3);
	});

	it('limits its calls to a store that rejects them, however often peers send hints', async () => {
		let polls = 0;
		feed = follow({
			list: async () => ({version: 5, changes: []}),
			async changes() {
				polls++;
				throw new Error('refused');
			},
		}, 0);
		await hintOften();
		assert.isAtMost(polls, 30);
	});

	it('limits its calls to a store that responds late to a long poll and rejects other calls', async () => {
		let polls = 0;
		feed = follow({
			list: async () => ({version: 5, changes: []}),
			async changes(_after, waitMs) {
				polls++;
				if (waitMs > 0) {
					await new Promise(resolve => {
						setTimeout(resolve, 60_000);
					});
				}

				throw new Error('refused');
			},
		}, 0);
		await hintOften();
		assert.isAtMost(polls, 30);
	});
});
