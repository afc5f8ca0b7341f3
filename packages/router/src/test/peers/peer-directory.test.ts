import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createSilentLog} from '../../observability.js';
import {createPeerDirectory} from '../../peers.js';

describe('createPeerDirectory', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('finds the other daemons despite an invalid entry', async () => {
		// Guards against one invalid entry that hides the whole fleet from every daemon that reads it.
		const entry = (address: string): string => JSON.stringify({address, incarnation: 1});
		const rows = [['a', entry('a:1')], ['b', 'no JSON'], ['c', '{}'], ['d', entry('d:1')]];
		const found: string[] = [];
		const directory = createPeerDirectory({
			name: 'a', incarnation: 1, address: 'a:1', everyMs: () => 1000,
			table: {
				get: async () => undefined,
				list: async () => rows.map(([name, value]) => ({key: `daemons/${name}`, value, version: 1})),
				transact: async () => ({committed: true, versions: {}}),
			},
			onPeer(name) {
				found.push(name);
			},
			random: () => 0.5,
			log: createSilentLog(),
		});
		directory.start();
		await clock.tickAsync(10);
		assert.deepEqual(found, ['d']);
		await directory.leave();
	});

	it('writes its entry again when the store has lost it or holds that of an earlier process', async () => {
		// Guards against daemons that no one finds after the store came back from an older copy.
		const rows = new Map<string, string>();
		const directory = createPeerDirectory({
			name: 'a', incarnation: 2, address: 'a:1', everyMs: () => 15_000,
			table: {
				get: async () => undefined,
				list: async () => Array.from(rows, ([key, value]) => ({key, value, version: 1})),
				async transact([{key, value}]) {
					rows.set(key, value!);
					return {committed: true, versions: {}};
				},
			},
			onPeer: () => undefined,
			random: () => 0.5,
			log: createSilentLog(),
		});
		directory.start();
		await clock.tickAsync(10);
		const own = rows.get('daemons/a')!;
		rows.clear();
		directory.entriesLost();
		await clock.tickAsync(1510);
		assert.equal(rows.get('daemons/a'), own);
		rows.set('daemons/a', JSON.stringify({address: 'a:9', incarnation: 1}));
		await clock.tickAsync(15_000);
		assert.equal(rows.get('daemons/a'), own);
		await directory.leave();
	});
});
