import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import fc from 'fast-check';
import {
	createFirstTokenHistogram, createMerge, createServiceLevelMerger, createServiceLevels, decodeHistogram, encodeHistogram,
	intervalSchema, readIntervals, recordFirstToken, type ServiceLevelInterval, serviceLevelResults,
} from '../../observability.js';
import {createMemoryObjects} from './memory-objects.js';

const workspaces = ['school-1', 'school-2'];

const eventArbitrary = fc.record({
	daemon: fc.nat(2),
	workspace: fc.constantFrom(...workspaces),
	service: fc.constant('wordsmith'),
	result: fc.constantFrom(...serviceLevelResults),
	firstTokenMs: fc.option(fc.integer({min: 0, max: 700_000}), {nil: undefined}),
});

const hourStart = Date.UTC(2026, 0, 5, 9);

describe('service levels', () => {
	let clock: FakeTimers.Clock;
	let objects: ReturnType<typeof createMemoryObjects>;

	beforeEach(() => {
		clock = FakeTimers.install({now: hourStart, toFake: ['Date', 'setTimeout', 'clearTimeout']});
		objects = createMemoryObjects();
	});

	afterEach(() => {
		clock.uninstall();
	});

	const createRecorder = (daemon: string) => createServiceLevels({daemon, incarnation: '1', objects});

	const answer = {workspace: 'school-1', service: 'wordsmith', result: 'answered'} as const;

	/** Runs the merger and advances the clock over its pauses between calls. */
	const runMerger = async (): Promise<{merged: number; removed: number}> => {
		const [result] = await Promise.all([createServiceLevelMerger({objects}).run(), clock.tickAsync(10_000)]);
		return result;
	};

	const countAnswered = async (): Promise<number> => {
		let answered = 0;
		await readIntervals({objects, since: 0}, interval => {
			for (const row of interval.rows) {
				answered += row.answered;
			}
		});
		return answered;
	};

	it('merges to the counts of a single daemon, in any order and grouping', async () => {
		await fc.assert(fc.asyncProperty(fc.array(fc.array(eventArbitrary, {maxLength: 12}), {minLength: 1, maxLength: 5}), fc.nat(), async (rounds, rotation) => {
			objects.store.clear();
			const recorders = ['hw-1', 'hw-2', 'hw-3'].map(name => createRecorder(name));
			for (const round of rounds) {
				for (const {daemon, ...event} of round) {
					recorders[daemon].record(event);
				}

				for (const recorder of recorders) {
					await recorder.flush();
				}
			}

			const parts = [...objects.store.values()].map(content => intervalSchema.parse(JSON.parse(new TextDecoder().decode(content))));
			const rotated = [...parts.slice(rotation % (parts.length + 1)), ...parts.slice(0, rotation % (parts.length + 1))];
			const inner = createMerge();
			const outer = createMerge();
			for (const [index, part] of rotated.entries()) {
				assert.isTrue((index % 2 === 0 ? inner : outer).add(part));
			}

			const half = inner.finish();
			assert.isTrue(half === undefined || outer.add(half));
			assert.isTrue(rotated.every(part => !outer.add(part)), 'no interval is added twice');
			checkMerge(outer.finish(), rounds.flat());
		}), {seed: 1, numRuns: 60});
	});

	// Guards against requests counted twice. The response to a write is lost and the
	// daemon repeats the write. Meanwhile a merger has merged and removed the first
	// copy, so the store holds the merge and the second copy.
	it('counts an interval once if its write is repeated after its merge', async () => {
		const recorder = createRecorder('hw-1');
		recorder.record(answer);
		objects.fault = call => call === 'put' ? 'lost' : 'none';
		assert.isFalse(await recorder.flush());
		objects.fault = () => 'none';
		clock.setSystemTime(hourStart + 800_000);
		assert.deepEqual(await runMerger(), {merged: 1, removed: 1});
		assert.isTrue(await recorder.flush());
		assert.equal(await countAnswered(), 1);
		const again = await runMerger();
		assert.equal(again.removed, 1, 'the copy is removed');
		assert.equal(await countAnswered(), 1);
	});

	// Guards against requests counted twice, if a merger's VM is lost after the merge
	// was written and before its parts are removed.
	it('counts parts once if they still exist after their merge', async () => {
		await recordAndFlush(['hw-1', 'hw-2']);
		clock.setSystemTime(hourStart + 800_000);
		objects.fault = call => call === 'remove' ? 'down' : 'none';
		await runMerger().then(() => assert.fail('the removal went through'), () => undefined);
		assert.lengthOf([...objects.store.keys()], 3);
		assert.equal(await countAnswered(), 2);
		objects.fault = () => 'none';
		await runMerger();
		assert.lengthOf([...objects.store.keys()], 1);
		assert.equal(await countAnswered(), 2);
	});

	// Guards against a lost interval. Two daemons merge the same span concurrently,
	// and the slower one read the parts before a late interval arrived. Its merge would
	// overwrite that of the faster one, which includes the late interval and has
	// removed its part.
	it('keeps the first merge of two concurrent mergers', async () => {
		await recordAndFlush(['hw-1']);
		const late = createRecorder('hw-2');
		late.record(answer);
		objects.fault = () => 'down';
		await late.flush();
		objects.fault = () => 'none';
		clock.setSystemTime(hourStart + 800_000);
		const {put} = objects;
		let letSlowerPut = (): void => undefined;
		const slowerMayPut = new Promise<void>(resolve => {
			letSlowerPut = resolve;
		});
		objects.put = async (...args) => {
			objects.put = put;
			await slowerMayPut;
			return put(...args);
		};

		const slower = runMerger();
		await clock.tickAsync(1000);
		await late.flush();
		assert.deepEqual(await runMerger(), {merged: 1, removed: 2});
		letSlowerPut();
		assert.deepEqual(await slower, {merged: 0, removed: 0});
		assert.equal(await countAnswered(), 2);
	});

	it('merges an interval that arrives after the merge of its span, and then merges the hour', async () => {
		await recordAndFlush(['hw-1', 'hw-2']);
		const [name, content] = [...objects.store].at(-1) ?? assert.fail('nothing was written');
		objects.store.delete(name);
		clock.setSystemTime(hourStart + 800_000);
		await runMerger();
		objects.store.set(name, content);
		await runMerger();
		assert.equal(await countAnswered(), 2);
		clock.setSystemTime(hourStart + 4_000_000);
		await runMerger();
		assert.lengthOf([...objects.store.keys()], 1, 'only the hour is left');
		assert.equal(await countAnswered(), 2);
	});

	// Guards against dropping the counts of a store outage, and against keeping
	// intervals without bound.
	it('keeps counting during an outage and writes all counts afterwards', async () => {
		const recorder = createRecorder('hw-1');
		objects.fault = () => 'down';
		for (let minute = 0; minute < 90; minute++) {
			recorder.record(answer);
			clock.setSystemTime(hourStart + (minute * 60_000));
			await recorder.flush();
		}

		objects.fault = () => 'none';
		await recorder.stop();
		assert.lengthOf([...objects.store.keys()], 2, 'one sealed interval and one open');
		assert.equal(await countAnswered(), 90);
	});

	it('removes objects after their retention time', async () => {
		await recordAndFlush(['hw-1']);
		clock.setSystemTime(hourStart + (5 * 24 * 3_600_000));
		await runMerger();
		assert.lengthOf([...objects.store.keys()], 0);
	});

	async function recordAndFlush(daemons: string[]): Promise<void> {
		for (const name of daemons) {
			const recorder = createRecorder(name);
			recorder.record(answer);
			await recorder.flush();
		}
	}
});

type Event = {workspace: string; result: typeof serviceLevelResults[number]; firstTokenMs: number | undefined};

function checkMerge(merged: ServiceLevelInterval | undefined, events: readonly Event[]): void {
	assert.lengthOf(merged?.rows ?? [], new Set(events.map(event => event.workspace)).size);
	for (const row of merged?.rows ?? []) {
		const mine = events.filter(event => event.workspace === row.workspace);
		for (const result of serviceLevelResults) {
			assert.equal(row[result], mine.filter(event => event.result === result).length);
		}

		const expected = createFirstTokenHistogram();
		for (const {firstTokenMs} of mine) {
			if (firstTokenMs !== undefined) {
				recordFirstToken(expected, firstTokenMs);
			}
		}

		const got = row.firstTokenMs === undefined ? createFirstTokenHistogram() : decodeHistogram(row.firstTokenMs);
		assert.equal(encodeHistogram(got), encodeHistogram(expected), 'every bucket is equal');
	}
}
