import process from 'node:process';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	type Change, createFleetView, HistoryGoneError, type LiveEndpoint, StoreRestoredError,
} from '../../fleet.js';
import {createSilentLog} from '../../observability.js';
import {
	createSoftwareHistory, createSoftwareRecord, recordKeepersOf, type SoftwareHistory,
} from '../../streams.js';
import {type PeriodicTask} from '../../time.js';

const histories = Number(process.env.RECORD_HISTORIES ?? 100);
const firstSeed = Number(process.env.RECORD_SEED ?? 1);
const streamMs = 20_000;
const renewalsMs = 6000;
const checkMs = 500;
const service = 'engines';
const names = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
const [writer, reader, other] = [...recordKeepersOf(names), ...names.filter(name => !recordKeepersOf(names).includes(name))];

describe('createSoftwareRecord', () => {
	let clock: FakeTimers.Clock;
	/** Rows of the endpoint list, as the store's history has them: the latest change of each. */
	let rows: Map<string, Change<LiveEndpoint>>;
	let version: number;
	let stored: Map<string, string>;
	let writes: number;
	/** Time for which a stream may be taken up, by the document in force. */
	let takeUpMs: number;
	let historyError: Error | undefined;
	let running: PeriodicTask[];

	/** Lists a process, an endpoint's next one if its software differs; or removes its row. */
	const put = (id: string, software: string | undefined): void => {
		version++;
		const before = rows.get(id)?.item;
		const startedAt = before !== undefined && before.software === software ? before.startedAt : version;
		const item: LiveEndpoint | undefined = software === undefined
			? undefined
			: {
				id, service, address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt, reportNumber: 1, software, weights: new Map(),
			};
		rows.set(id, {key: id, version, item});
	};

	/** Starts a daemon; `refresh` makes it read the list. */
	const startDaemon = (name: string, startsEmpty: boolean, fleetSize = names.length): {history: SoftwareHistory; refresh: () => void} => {
		const view = createFleetView(createSilentLog());
		const history = createSoftwareHistory({
			view, startsEmpty, streamMs: () => streamMs, isCurrent: () => true,
		});
		let listedAt = 0;
		const record = createSoftwareRecord({
			name,
			names: () => names,
			fleetSize: () => fleetSize,
			table: {
				async get(key) {
					const value = stored.get(key);
					return value === undefined ? undefined : {key, value, version: 1};
				},
				list: async () => [],
				async transact([{key, value}]) {
					writes++;
					stored.set(key, value!);
					return {committed: true, versions: {}};
				},
			},
			view,
			source: {
				async changes(after) {
					if (historyError !== undefined) {
						throw historyError;
					}

					return {changes: [...rows.values()].filter(row => row.version > after), version};
				},
			},
			history,
			services: () => [service],
			listedAt: () => listedAt,
			streamMs: () => takeUpMs,
			timeoutMs: 100,
			log: createSilentLog(),
		});
		record.start();
		running.push(record);
		return {
			history,
			refresh() {
				for (const {key, item} of rows.values()) {
					if (item === undefined) {
						view.dropEndpoint(key);
					} else {
						view.acceptEndpoint(item);
					}
				}

				listedAt = version;
			},
		};
	};

	const loseAll = (): void => {
		for (const record of running) {
			record.close();
		}

		running = [];
	};

	/** What a daemon knows that starts after a loss of all. */
	const soleAfterLoss = async (name = writer, fleetSize?: number): Promise<string | undefined> => {
		const {history, refresh} = startDaemon(name, false, fleetSize);
		refresh();
		await clock.tickAsync(checkMs * 2);
		return history.soleSoftware(service);
	};

	const checkUnproven = async (error: Error): Promise<void> => {
		loseAll();
		historyError = error;
		assert.isUndefined(await soleAfterLoss());
	};

	/** Plays one history; returns how often a daemon knew a version that it hadn't seen for long enough itself. */
	const play = async (seed: number): Promise<number> => {
		const generator = xoroshiro128plus(seed);
		const draw = (limit: number): number => (generator.next() >>> 0) % limit; // eslint-disable-line no-bitwise
		/** When each version was listed last, as the store has it. */
		const lastListed = new Map<string, number>();
		let proven = 0;

		const changeList = (): void => {
			const id = `e${draw(6)}`;
			const isRemoved = draw(4) === 0 && rows.get(id)?.item !== undefined;
			put(id, isRemoved ? undefined : `v${draw(12) === 0 ? 2 : 1}`);
		};

		const observeList = (): void => {
			for (const {item} of rows.values()) {
				if (item !== undefined) {
					lastListed.set(item.software, performance.now());
				}
			}
		};

		const start = (startsEmpty: boolean): ReturnType<typeof startDaemon> => {
			loseAll();
			const daemon = startDaemon(writer, startsEmpty);
			daemon.refresh();
			return daemon;
		};

		stored.clear();
		rows.clear();
		put('e0', 'v1');
		let daemon = start(true);
		for (let step = 0; step < 120; step++) {
			if (draw(20) === 0) {
				changeList();
			}

			observeList();
			if (draw(3) > 0) {
				daemon.refresh();
			}

			if (draw(40) === 0) {
				daemon = start(false);
			}

			await clock.tickAsync(checkMs);
			const {history, refresh} = daemon;
			const sole = history.soleSoftware(service);
			refresh();
			if (sole !== undefined && history.soleSoftware(service) === sole) {
				const served = [...lastListed].filter(([, at]) => at > performance.now() - streamMs + checkMs).map(([software]) => software);
				assert.isTrue(served.every(software => software === sole), `seed ${seed}, step ${step}: ${sole} of ${served.join(', ')}`);
				proven += history.isComplete() ? 0 : 1;
			}
		}

		return proven;
	};

	beforeEach(async () => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
		rows = new Map();
		version = 1;
		stored = new Map();
		writes = 0;
		takeUpMs = streamMs;
		historyError = undefined;
		running = [];
		put('e1', 'v1');
		put('e2', 'v1');
		startDaemon(writer, true).refresh();
		await clock.tickAsync(checkMs);
	});

	afterEach(() => {
		loseAll();
		clock.uninstall();
	});

	it('tells daemons that start after a loss of all which version has served alone', async () => {
		// Guards against refusals of all streams that callers take up again after such a loss.
		loseAll();
		put('e1', 'v1');
		assert.equal(await soleAfterLoss(), 'v1');
		assert.equal(await soleAfterLoss(reader), 'v1');
	});

	it('is written by one daemon only, and read by one more in a large fleet', async () => {
		startDaemon(reader, true).refresh();
		startDaemon(other, true).refresh();
		await clock.tickAsync(checkMs);
		assert.equal(writes, 1);
		await clock.tickAsync(renewalsMs);
		assert.equal(writes, 2);
		loseAll();
		assert.equal(await soleAfterLoss(other), 'v1');
		assert.equal(await soleAfterLoss(reader, 650), 'v1');
		assert.isUndefined(await soleAfterLoss(other, 650));
	});

	it('proves nothing once an endpoint of another version was listed', async () => {
		// Guards against streams of a version that came into service just before the loss.
		loseAll();
		put('e3', 'v2');
		assert.isUndefined(await soleAfterLoss());
	});

	it('proves nothing once an endpoint was removed, whose version nobody knows', async () => {
		// Guards against streams of a version whose endpoints had just left when all daemons were lost.
		loseAll();
		put('e3', undefined);
		assert.isUndefined(await soleAfterLoss());
	});

	it('proves what it says beside entries that can\'t be decoded', async () => {
		// Guards against refusals of all such streams because of one entry of another writer.
		loseAll();
		version++;
		rows.set('odd', {
			key: 'odd', version, item: undefined, text: '{}',
		});
		assert.equal(await soleAfterLoss(), 'v1');
	});

	it('proves nothing once an entry that can\'t be decoded has replaced that of an endpoint', async () => {
		// Guards against streams of an endpoint that left while its entry was unreadable.
		loseAll();
		version++;
		rows.set('e1', {
			key: 'e1', version, item: undefined, text: '{}',
		});
		assert.isUndefined(await soleAfterLoss());
	});

	for (const [condition, error] of [
		['the store no longer has the changes since', new HistoryGoneError('The store no longer has the requested changes.')],
		['the store has come back from an older copy', new StoreRestoredError('The store has come back from an older copy.', 0)],
	] as const) {
		// Guards against a version that is believed without the changes that could refute it.
		it(`proves nothing once ${condition}`, async () => checkUnproven(error));
	}

	it('proves nothing once streams may be taken up for longer', async () => {
		// Guards against streams from before the time that the record speaks of.
		loseAll();
		takeUpMs++;
		assert.isUndefined(await soleAfterLoss());
	});

	it('is read again after a call that failed', async () => {
		loseAll();
		historyError = new Error('The store is away.');
		const {history, refresh} = startDaemon(writer, false);
		refresh();
		await clock.tickAsync(checkMs * 2);
		assert.isUndefined(history.soleSoftware(service));
		historyError = undefined;
		await clock.tickAsync(checkMs);
		assert.equal(history.soleSoftware(service), 'v1');
	});

	it('names no version that another one served beside, over generated histories', async () => {
		// Guards against a stream that goes on at another version than the one that began it.
		let proven = 0;
		for (let seed = firstSeed; seed < firstSeed + histories; seed++) {
			proven += await play(seed);
		}

		assert.isAbove(proven, 0);
	}).timeout(120_000);
});
