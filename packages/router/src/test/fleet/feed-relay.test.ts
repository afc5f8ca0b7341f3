import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createRelayLog} from '../../fleet.js';

const row = (key: string, version: number, text: string | undefined = key) => ({key, version, text});

describe('createRelayLog', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('relays each change once, with the version of the previous relay', () => {
		const log = createRelayLog();
		log.listed({version: 5, changes: [row('a', 3)]});
		assert.deepEqual(log.take(), {
			since: 5, version: 5, rows: [], isPrompt: true, storeMs: null, outage: null, restoredMs: null,
		});
		log.changed({version: 7, changes: [row('b', 6)]}, true);
		log.changed({version: 9, changes: [row('b', 8), {key: 'a', version: 9}]}, true);
		assert.deepEqual(log.take(), {
			since: 5, version: 9, rows: [['b', 8, 'b'], ['a', 9, null]], isPrompt: true, storeMs: null, outage: null, restoredMs: null,
		});
		assert.deepEqual(log.take(), {
			since: 9, version: 9, rows: [], isPrompt: true, storeMs: null, outage: null, restoredMs: null,
		});
	});

	it('does not mark changes as prompt that this daemon saw late', () => {
		// Peers would otherwise date a weights naming that happened earlier to the relay's arrival.
		const log = createRelayLog();
		log.listed({version: 5, changes: []});
		log.changed({version: 6, changes: [row('a', 6)]}, false);
		log.changed({version: 7, changes: [row('b', 7)]}, true);
		assert.isFalse(log.take().isPrompt);
		log.changed({version: 8, changes: [row('a', 8)]}, true);
		assert.isTrue(log.take().isPrompt);
	});

	it('relays rows deleted between two listings', () => {
		const log = createRelayLog();
		log.listed({version: 5, changes: [row('a', 3), row('b', 4)]});
		log.take();
		log.listed({version: 9, changes: [row('b', 4), row('c', 8)]});
		assert.deepEqual(log.take().rows, [['c', 8, 'c'], ['a', 9, null]]);
	});

	it('omits rows that exceed a datagram, and states the version after which it is complete', () => {
		const log = createRelayLog();
		log.listed({version: 1, changes: []});
		log.changed({version: 4, changes: [row('a', 2, 'x'.repeat(10_000)), row('b', 3, 'x'.repeat(10_000)), row('c', 4)]}, true);
		const {since, rows} = log.take();
		assert.deepEqual([since, rows.map(([key]) => key)], [2, ['b', 'c']]);
	});

	it('never relays a row with secrets, so that peers read it from the store', () => {
		// The operator's document holds the workspaces' keys, and datagrams aren't encrypted.
		const log = createRelayLog();
		log.listed({version: 1, changes: []});
		log.changed({version: 4, changes: [row('a', 2), {...row('document', 3, 'key'), isSecret: true}, row('c', 4)]}, true);
		const {since, rows} = log.take();
		assert.deepEqual([since, rows], [3, [['c', 4, 'c']]]);
	});

	it('stores a bounded number of changes between two relays', () => {
		const log = createRelayLog();
		log.listed({version: 1, changes: []});
		for (let version = 2; version < 10_000; version++) {
			log.changed({version, changes: [row(`e${version}`, version)]}, true);
		}

		const {since, version, rows} = log.take();
		assert.deepEqual([since, version, rows.length], [9743, 9999, 256]);
	});

	it('reports an outage for as long as entries may still expire because of it', () => {
		const log = createRelayLog();
		log.listed({version: 1, changes: []});
		log.recovered(Number.POSITIVE_INFINITY);
		clock.tick(4000);
		assert.deepEqual(log.take().outage, [3_600_000, 4000]);
		clock.tick(6001);
		assert.isNull(log.take().outage);
	});
});
