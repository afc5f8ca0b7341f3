import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createSilentLog} from '../../observability.js';
import {createFleetKey} from '../../peers.js';
import {createFakeTable, type TableFault} from '../limits/fleet.js';

describe('createFleetKey', () => {
	let clock: FakeTimers.Clock;
	let fault: TableFault;
	let generated: number;

	beforeEach(() => {
		clock = FakeTimers.install();
		fault = 'none';
		generated = 0;
	});

	afterEach(() => {
		clock.uninstall();
	});

	const keyIn = (table: ReturnType<typeof createFakeTable>) => createFleetKey({
		table,
		generate() {
			generated++;
			return `key-${generated}`;
		},
		log: createSilentLog(),
	});

	it('is the same for daemons that start together', async () => {
		const table = createFakeTable(() => fault);
		const keys = [keyIn(table), keyIn(table), keyIn(table)];
		for (const key of keys) {
			key.refresh();
		}

		await clock.tickAsync(10);
		assert.isString(keys[0].current());
		assert.equal(new Set(keys.map(key => key.current())).size, 1);
	});

	it('is written again by a daemon that knows it when the store has lost it', async () => {
		// Guards against daemons that refuse each other's requests after a restore of the store.
		const table = createFakeTable(() => fault);
		const key = keyIn(table);
		key.refresh();
		await clock.tickAsync(10);
		const before = key.current();
		table.rows.clear();
		key.refresh();
		await clock.tickAsync(10);
		const later = keyIn(table);
		later.refresh();
		await clock.tickAsync(10);
		assert.deepEqual([key.current(), later.current()], [before, before]);
	});

	const checkReplaced = async (odd: string): Promise<void> => {
		const table = createFakeTable(() => fault);
		await table.transact([{key: 'fleet-key', value: odd}]);
		const keys = [keyIn(table), keyIn(table)];
		for (const key of keys) {
			key.refresh();
		}

		await clock.tickAsync(10);
		assert.deepEqual(keys.map(key => key.current()), ['key-1', 'key-1']);
	};

	for (const odd of ['', 'a\u0000b', 'a\r\nb: c', '\u00FF', 'x'.repeat(60_000)]) {
		// Guards against daemons that can't pass on requests, or take anyone's, because of one row of another writer.
		it(`replaces a row that holds ${JSON.stringify(odd.slice(0, 10))}, of ${odd.length} characters`, async () => checkReplaced(odd));
	}

	it('is read as soon as the store responds again', async () => {
		// Guards against a daemon that can't pass on requests because it started during an outage.
		fault = 'down';
		const key = keyIn(createFakeTable(() => fault));
		key.refresh();
		await clock.tickAsync(5000);
		assert.isUndefined(key.current());
		fault = 'none';
		await clock.tickAsync(1100);
		assert.isString(key.current());
	});

	it('is read back after a write whose response was lost', async () => {
		fault = 'answer-lost';
		const table = createFakeTable(() => fault);
		const key = keyIn(table);
		key.refresh();
		await clock.tickAsync(10);
		fault = 'none';
		await clock.tickAsync(1100);
		assert.equal(key.current(), table.rows.get('fleet-key')?.value);
	});
});
