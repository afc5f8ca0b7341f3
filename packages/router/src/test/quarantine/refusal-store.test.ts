import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createSilentLog} from '../../observability.js';
import {type TableClient, type TableRow} from '../../platform.js';
import {createRefusalStore, type Refusal} from '../../quarantine.js';

/** Creates an in-memory table that several stores share. */
function createTable() {
	const rows = new Map<string, TableRow>();
	let version = 0;
	let isDown = false;
	const check = (): void => {
		if (isDown) {
			throw new Error('down');
		}
	};

	const client: TableClient = {
		async get(key) {
			check();
			return rows.get(key);
		},
		async list({prefix}) {
			check();
			return [...rows.values()].filter(({key}) => key.startsWith(prefix));
		},
		async transact(writes) {
			check();
			const conflicts = writes.filter(({key, ifVersion}) => ifVersion !== undefined && (rows.get(key)?.version ?? 0) !== ifVersion);
			if (conflicts.length > 0) {
				return {committed: false, conflicts: conflicts.map(({key}) => ({key, version: rows.get(key)?.version ?? 0}))};
			}

			version++;
			for (const {key, value} of writes) {
				if (value === null) {
					rows.delete(key);
				} else {
					rows.set(key, {key, value, version});
				}
			}

			return {committed: true, versions: Object.fromEntries(writes.map(({key}) => [key, version]))};
		},
	};
	return {
		client,
		rows,
		setDown(down: boolean) {
			isDown = down;
		},
	};
}

describe('createRefusalStore', () => {
	let clock: FakeTimers.Clock;
	let table: ReturnType<typeof createTable>;
	let read: Refusal[][];
	let isIsolated: boolean;
	const opened: Array<ReturnType<typeof createRefusalStore>> = [];

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		table = createTable();
		read = [];
		isIsolated = false;
	});

	afterEach(() => {
		for (const store of opened.splice(0)) {
			store.close();
		}

		clock.uninstall();
	});

	const open = () => {
		const store = createRefusalStore({
			table: table.client,
			storeMs: () => 1_000_000 + performance.now(),
			onRefusals(refusals) {
				read.push([...refusals]);
			},
			isIsolated: () => isIsolated,
			log: createSilentLog(),
		});
		opened.push(store);
		return store;
	};

	const refusal = (term = 1): Refusal => ({digest: 'bad', term, msLeft: 5000});

	it('passes stored refusals with their remaining time to daemons that start', async () => {
		// Guards against more crashes by a refused request after a restart of all daemons.
		open().save(refusal());
		await clock.tickAsync(2000);
		open().start();
		await clock.tickAsync(10);
		assert.deepEqual(read, [[{digest: 'bad', term: 1, msLeft: 3000}]]);
		await clock.tickAsync(10_000);
		assert.lengthOf(read, 1);
	});

	it('reads until it succeeds once, and every second while isolated', async () => {
		// Guards against retries through a daemon that reports from peers don't reach.
		table.setDown(true);
		open().start();
		await clock.tickAsync(3000);
		assert.lengthOf(read, 0);
		table.setDown(false);
		await clock.tickAsync(1000);
		assert.lengthOf(read, 1);
		isIsolated = true;
		await clock.tickAsync(3000);
		assert.lengthOf(read, 4);
	});

	it('grants the claim of a term to one of several daemons, and to none while the table is down', async () => {
		open().save(refusal());
		await clock.tickAsync(1);
		table.setDown(true);
		assert.isFalse(await open().claim(refusal(2)));
		table.setDown(false);
		const granted = await Promise.all([open(), open(), open()].map(async store => store.claim(refusal(2))));
		assert.lengthOf(granted.filter(Boolean), 1);
	});

	it('stores a refusal once the table is back', async () => {
		table.setDown(true);
		open().save(refusal());
		await clock.tickAsync(500);
		table.setDown(false);
		await clock.tickAsync(1000);
		assert.equal(table.rows.size, 1);
	});

	it('removes rows that are invalid or long expired', async () => {
		await table.client.transact([{key: 'refused/broken', value: 'no JSON'}, {key: 'refused/old', value: JSON.stringify({term: 1, dueMs: -9_000_000})}]);
		open().save(refusal());
		await clock.tickAsync(1);
		open().start();
		await clock.tickAsync(10);
		assert.deepEqual([...table.rows.keys()], ['refused/bad']);
		assert.lengthOf(read[0], 1);
	});
});
