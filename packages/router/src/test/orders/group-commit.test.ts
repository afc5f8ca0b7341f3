import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createGroupCommit, type WriteGroup} from '../../lib/orders/group-commit.js';
import {
	PlatformUnavailableError, type TableClient, type TableRow, type TableWrite,
} from '../../platform.js';
import {OrderNotWrittenError, OrderStoreError} from '../../orders.js';

/** Creates a table in memory; `lose` decides for which transactions the response is lost. */
function createTable(lose: (writes: TableWrite[]) => 'none' | 'applied' | 'dropped' = () => 'none') {
	const rows = new Map<string, TableRow>();
	const transactions: TableWrite[][] = [];
	let version = 0;
	const table: TableClient = {
		get: async key => rows.get(key),
		list: async () => [...rows.values()],
		async transact(writes) {
			transactions.push(writes);
			const loss = lose(writes);
			const conflicts = writes.filter(write => write.ifVersion !== undefined && write.ifVersion !== (rows.get(write.key)?.version ?? 0));
			if (loss !== 'dropped' && conflicts.length === 0) {
				for (const {key, value} of writes) {
					rows.set(key, {key, value: value ?? '', version: ++version});
				}
			}

			if (loss !== 'none') {
				throw new PlatformUnavailableError('No answer.', true);
			}

			return conflicts.length > 0
				? {committed: false, conflicts: conflicts.map(({key}) => ({key, version: rows.get(key)?.version ?? 0}))}
				: {committed: true, versions: Object.fromEntries(writes.map(({key}) => [key, version]))};
		},
	};
	return {table, transactions};
}

async function hang(): Promise<never> {
	return new Promise(() => {
		// Never settles.
	});
}

async function failLate(): Promise<never> {
	return new Promise((_resolve, reject) => {
		setTimeout(() => {
			reject(new PlatformUnavailableError('No answer.', true));
		}, 5000);
	});
}

function groupOf(key: string, value = 'mine'): WriteGroup {
	return {writes: [{key, value, ifVersion: 0}, {key: `index-${key}`, value: ''}], readBackKey: key, isApplied: row => row.value === value};
}

describe('createGroupCommit', () => {
	it('combines groups of the same event loop turn into few transactions', async () => {
		const {table, transactions} = createTable();
		const {commit} = createGroupCommit({table});
		await Promise.all(Array.from({length: 24}, async (_, index) => commit(groupOf(`k-${index}`))));
		assert.deepEqual(transactions.map(writes => writes.length), [24, 24]);
	});

	it('fails only the group that has a conflict', async () => {
		// Two VMs write an intent for the same key. The batch of the slower VM also
		// has intents of other callers, which must not be refused with it.
		const {table} = createTable();
		const {commit} = createGroupCommit({table});
		await commit(groupOf('k-1', 'other'));
		const results = await Promise.all(['k-0', 'k-1', 'k-2'].map(async key => commit(groupOf(key))));
		assert.deepEqual(results.map(result => result.committed), [true, false, true]);
	});

	it('queues groups behind a transaction in flight, but not behind one that hangs', async () => {
		// The connection of one transaction is dead. Later orders must not wait until
		// that transaction times out.
		const clock = FakeTimers.install();
		try {
			const {table, transactions} = createTable();
			const hangs = async (writes: TableWrite[]) => writes[0].key === 'k-hangs' ? hang() : table.transact(writes);
			const {commit} = createGroupCommit({table: {...table, transact: hangs}});
			void commit(groupOf('k-hangs'));
			await clock.tickAsync(1);
			const others = Promise.all([commit(groupOf('k-1')), commit(groupOf('k-2'))]);
			await clock.tickAsync(48);
			assert.isEmpty(transactions);
			await clock.tickAsync(2);
			await others;
			assert.deepEqual(transactions.map(writes => writes.length), [4]);
		} finally {
			clock.uninstall();
		}
	});

	it('rejects groups that are queued too long, and never sends them later', async () => {
		// The table stops responding while orders arrive. Each must be refused as not
		// run soon, and must not be written once the table responds again.
		const clock = FakeTimers.install();
		try {
			const {table, transactions} = createTable();
			let isSilent = true;
			const transact = async (writes: TableWrite[]) => isSilent ? failLate() : table.transact(writes);
			const {commit} = createGroupCommit({table: {...table, transact}, maxInFlight: 1});
			const hung = commit(groupOf('k-hangs')).then(() => 'committed', (error: unknown) => error);
			await clock.tickAsync(1);
			const given = commit(groupOf('k-1')).then(() => 'committed', (error: unknown) => error);
			await clock.tickAsync(1000);
			assert.instanceOf(await given, OrderNotWrittenError);
			isSilent = false;
			await clock.tickAsync(10_000);
			assert.instanceOf(await hung, OrderStoreError);
			assert.isEmpty(transactions);
		} finally {
			clock.uninstall();
		}
	});

	it('reads back after a lost response, and rejects if the write does not show', async () => {
		const {commit} = createGroupCommit({table: createTable(() => 'applied').table});
		const {committed} = await commit(groupOf('k-1'));
		assert.isTrue(committed);
		const dropped = createGroupCommit({table: createTable(() => 'dropped').table});
		const error: unknown = await dropped.commit(groupOf('k-1')).then(() => undefined, (error_: unknown) => error_);
		assert.propertyVal(error, 'code', 'order_store_unavailable');
	});
});
