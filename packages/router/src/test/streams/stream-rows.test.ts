import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createSilentLog} from '../../observability.js';
import {type TableRow} from '../../platform.js';
import {createStreamOrigins, createStreamRows, type StreamOrigins} from '../../streams.js';
import {type PeriodicTask} from '../../time.js';

const streamMs = 20_000;
const checkMs = 500;
const origin = {service: 'engines', software: 'v1'};

describe('createStreamRows', () => {
	let clock: FakeTimers.Clock;
	let stored: Map<string, TableRow>;
	let version: number;
	let isAway: boolean;
	let running: PeriodicTask[];

	const start = (name: string, {isMixed = true, isKeeper = true, isComplete = false, fleetSize = 3} = {}): StreamOrigins => {
		const origins = createStreamOrigins({
			peers: () => [], mustReport: () => isMixed, onUnreported: () => undefined, streamMs: () => streamMs,
		});
		const rows = createStreamRows({
			table: {
				get: async key => stored.get(key),
				async list() {
					if (isAway) {
						throw new Error('The store is away.');
					}

					return [...stored.values()];
				},
				async transact([{key, value, ifVersion}]) {
					if (ifVersion !== undefined && stored.get(key)?.version !== ifVersion) {
						return {committed: false, conflicts: []};
					}

					version++;
					if (value === null) {
						stored.delete(key);
					} else {
						stored.set(key, {key, value, version});
					}

					return {committed: true, versions: {}};
				},
			},
			name,
			origins,
			history: {isComplete: () => isComplete},
			isKeeper: () => isKeeper,
			fleetSize: () => fleetSize,
			streamMs: () => streamMs,
			storeMs: () => performance.now(),
			log: createSilentLog(),
		});
		rows.start();
		running.push(rows);
		return origins;
	};

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
		clock.tick(streamMs * 2);
		stored = new Map();
		version = 0;
		isAway = false;
		running = [];
	});

	afterEach(() => {
		for (const rows of running) {
			rows.close();
		}

		clock.uninstall();
	});

	it('tell a daemon that starts later where streams began', async () => {
		// Guards against refusals of all streams that callers take up again after a loss of all daemons.
		start('vm-1').began('s1', origin);
		start('vm-2').began('s2', {...origin, software: 'v2'});
		await clock.tickAsync(checkMs);
		const later = start('vm-3');
		await clock.tickAsync(checkMs);
		assert.deepEqual([later.originOf('s1')?.software, later.originOf('s2')?.software], ['v1', 'v2']);
	});

	it('are not written while others can tell the version by the service, nor without new streams', async () => {
		start('vm-1', {isMixed: false}).began('s1', origin);
		const origins = start('vm-2');
		origins.began('s2', origin);
		await clock.tickAsync(checkMs * 10);
		assert.deepEqual([...stored.keys()], ['streams/vm-2']);
		assert.equal(version, 1);
		origins.began('s3', origin);
		await clock.tickAsync(checkMs);
		assert.equal(version, 2);
	});

	it('are written less often by each daemon of a larger fleet', async () => {
		const origins = start('vm-1', {fleetSize: 100});
		for (let count = 0; count < 20; count++) {
			origins.began(`s${count}`, origin);
			await clock.tickAsync(checkMs);
		}

		assert.equal(version, 2);
	});

	it('are read by daemons that don\'t know what served before, in a large fleet by the keepers only, until that succeeds', async () => {
		start('vm-1').began('s1', origin);
		await clock.tickAsync(checkMs);
		isAway = true;
		const [keeper, other, small, informed] = [
			start('vm-2', {fleetSize: 650}), start('vm-3', {fleetSize: 650, isKeeper: false}), start('vm-4', {isKeeper: false}), start('vm-5', {isComplete: true}),
		];
		await clock.tickAsync(checkMs);
		assert.isUndefined(keeper.originOf('s1'));
		isAway = false;
		await clock.tickAsync(checkMs);
		assert.deepEqual(keeper.originOf('s1'), origin);
		assert.isUndefined(other.originOf('s1'));
		assert.deepEqual(small.originOf('s1'), origin);
		assert.isUndefined(informed.originOf('s1'));
	});

	it('are removed once none of their streams can be taken up, or if they are invalid', async () => {
		// Guards against rows of daemons that were removed for good, and against content of other programs.
		start('vm-1').began('s1', origin);
		await clock.tickAsync(checkMs);
		stored.set('streams/vm-9', {key: 'streams/vm-9', value: '{}', version: 0});
		await clock.tickAsync(streamMs + checkMs);
		start('vm-2');
		await clock.tickAsync(checkMs);
		assert.equal(stored.size, 0);
	});
});
