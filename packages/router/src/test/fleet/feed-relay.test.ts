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

	it('relays each change once, between the versions of two relays', () => {
		const log = createRelayLog();
		log.listed({version: 5, changes: [row('a', 3)]});
		assert.deepEqual(log.take(), {
			since: 5, version: 5, rows: [], isPrompt: true, outage: null,
		});
		log.changed({version: 7, changes: [row('b', 6)]}, true);
		log.changed({version: 9, changes: [row('b', 8), {key: 'a', version: 9}]}, true);
		assert.deepEqual(log.take(), {
			since: 5, version: 9, rows: [['b', 8, 'b'], ['a', 9, null]], isPrompt: true, outage: null,
		});
		assert.deepEqual(log.take(), {
			since: 9, version: 9, rows: [], isPrompt: true, outage: null,
		});
	});

	it('does not pass a change on as new that this daemon did not see at once', () => {
		// Weights that were named a moment ago would count as named at the relay's arrival.
		const log = createRelayLog();
		log.listed({version: 5, changes: []});
		log.changed({version: 6, changes: [row('a', 6)]}, false);
		log.changed({version: 7, changes: [row('b', 7)]}, true);
		assert.isFalse(log.take().isPrompt);
		log.changed({version: 8, changes: [row('a', 8)]}, true);
		assert.isTrue(log.take().isPrompt);
	});

	it('tells which rows have vanished between two listings', () => {
		const log = createRelayLog();
		log.listed({version: 5, changes: [row('a', 3), row('b', 4)]});
		log.take();
		log.listed({version: 9, changes: [row('b', 4), row('c', 8)]});
		assert.deepEqual(log.take().rows, [['c', 8, 'c'], ['a', 9, null]]);
	});

	it('leaves out what exceeds a datagram, and says from where it is complete', () => {
		const log = createRelayLog();
		log.listed({version: 1, changes: []});
		log.changed({version: 4, changes: [row('a', 2, 'x'.repeat(10_000)), row('b', 3, 'x'.repeat(10_000)), row('c', 4)]}, true);
		const {since, rows} = log.take();
		assert.deepEqual([since, rows.map(([key]) => key)], [2, ['b', 'c']]);
	});

	it('never relays a row with secrets, and sends peers to the store for it', () => {
		// The operator's document holds the workspaces' keys, and datagrams aren't encrypted.
		const log = createRelayLog();
		log.listed({version: 1, changes: []});
		log.changed({version: 4, changes: [row('a', 2), {...row('document', 3, 'key'), isSecret: true}, row('c', 4)]}, true);
		const {since, rows} = log.take();
		assert.deepEqual([since, rows], [3, [['c', 4, 'c']]]);
	});

	it('keeps a bounded number of changes while it relays nothing', () => {
		const log = createRelayLog();
		log.listed({version: 1, changes: []});
		for (let version = 2; version < 10_000; version++) {
			log.changed({version, changes: [row(`e${version}`, version)]}, true);
		}

		const {since, version, rows} = log.take();
		assert.deepEqual([since, version, rows.length], [9743, 9999, 256]);
	});

	it('tells an outage for as long as entries may still lapse from it', () => {
		const log = createRelayLog();
		log.listed({version: 1, changes: []});
		log.regained(Number.POSITIVE_INFINITY);
		clock.tick(4000);
		assert.deepEqual(log.take().outage, [3_600_000, 4000]);
		clock.tick(6001);
		assert.isNull(log.take().outage);
	});
});
