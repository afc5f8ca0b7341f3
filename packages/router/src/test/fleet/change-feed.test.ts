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

	/** Ten seconds in which some peer always knows of a newer change. */
	const hintOften = async (): Promise<void> => {
		for (let at = 0; at < 10_000; at += 12) {
			await clock.tickAsync(12);
			feed.hint(6 + at);
		}
	};

	const follow = (source: Omit<ChangeSource<string>, 'decode'>, restMs = 0): ChangeFeed => followChanges({
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
		answerMs: 400,
		restMs,
		log: createSilentLog(),
	});

	/** Answers each question from the list, the last one forever by silence. */
	const source = (list: Array<Changes<string>>, answers: Array<Changes<string> | Error>): Omit<ChangeSource<string>, 'decode'> => ({
		list: async () => list.shift()!,
		async changes(_after, _waitMs, limitMs) {
			const next = answers.shift();
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

	it('lists once and then hands over what changes', async () => {
		feed = follow(source([{version: 5, changes: [change('a', 3)]}], [{version: 6, changes: [change('b', 6)]}]));
		await clock.tickAsync(10);
		assert.deepEqual(seen, ['all a Infinity', 'b 0']);
		assert.equal(feed.newestChange(), 6);
	});

	it('lists anew when the history is gone, and takes nothing older over', async () => {
		feed = follow(source(
			[{version: 5, changes: [change('a', 3)]}, {version: 4, changes: []}],
			[new HistoryGoneError('gone')],
		));
		await clock.tickAsync(10);
		assert.deepEqual(seen, ['all a Infinity']);
	});

	it('asks anew after silence, and says how old the news may be', async () => {
		// The connection goes silent for good. After the wait and the time for an
		// answer the question counts as lost; the next one finds what was missed.
		const answers: Array<Changes<string> | Error> = [];
		feed = follow(source([{version: 5, changes: []}], answers));
		await clock.tickAsync(1100);
		answers.push({version: 9, changes: [change('c', 9)]});
		await clock.tickAsync(200);
		assert.match(seen[1], /^c 12\d\d$/v);
	});

	it('asks at once when a peer knows of a change that it has not heard', async () => {
		const answers: Array<Changes<string> | Error> = [];
		feed = follow(source([{version: 5, changes: []}], answers));
		await clock.tickAsync(300);
		answers.push({version: 9, changes: [change('d', 9)]});
		feed.hint(9);
		await clock.tickAsync(10);
		assert.match(seen[1], /^d 30\d$/v);
	});

	it('asks once for all that peers hear of within its rest', async () => {
		// Engines change weights and their rows change for seconds. The daemons rest
		// at different moments, so that one of them always knows of a row that another
		// will hear of a moment later. Asked for at each hint, every row cost a call of
		// every daemon.
		const rows = [change('a', 6)];
		let questions = 0;
		feed = follow({
			list: async () => ({version: 5, changes: []}),
			async changes(after, _waitMs, limitMs) {
				questions++;
				const news = rows.filter(row => row.version > after);
				if (news.length === 0) {
					await new Promise((_resolve, reject) => {
						setTimeout(reject, limitMs, new Error('silent'));
					});
				}

				return {version: rows.at(-1)!.version, changes: news};
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
		assert.equal(questions, 3);
	});

	it('does not press a store that refuses it, however often peers tell of a change', async () => {
		let questions = 0;
		feed = follow({
			list: async () => ({version: 5, changes: []}),
			async changes() {
				questions++;
				throw new Error('refused');
			},
		}, 0);
		await hintOften();
		assert.isAtMost(questions, 30);
	});

	it('does not press a store that answers its waiting question late, and refuses others', async () => {
		let questions = 0;
		feed = follow({
			list: async () => ({version: 5, changes: []}),
			async changes(_after, waitMs) {
				questions++;
				if (waitMs > 0) {
					await new Promise(resolve => {
						setTimeout(resolve, 60_000);
					});
				}

				throw new Error('refused');
			},
		}, 0);
		await hintOften();
		assert.isAtMost(questions, 30);
	});
});
