import {assert} from 'chai';
import {dutyCandidates} from '../lib/wiring/lease-wiring.js';

describe('dutyCandidates', () => {
	const peer = (daemon: string, dutyDelayMs: number) => ({daemon, dutyDelayMs});

	it('leaves out daemons that are stopping or have just started', () => {
		// Guards against a duty that stands still while daemons wait for one that doesn't take it.
		const {names, isDeferred} = dutyCandidates({name: 'a', delayMs: 0}, [peer('b', 0), peer('c', 400), peer('d', -1)]);
		assert.deepEqual([names, isDeferred], [['a', 'b'], false]);
	});

	it('puts a daemon that has just started behind those that can act sooner', () => {
		// Guards against a duty that stands still because its new holder doesn't know the last orders.
		const able = dutyCandidates({name: 'a', delayMs: 1200}, [peer('b', 0), peer('c', 2000), peer('d', -1)]);
		assert.deepEqual([able.names, able.isDeferred], [['a', 'b'], true]);
		const older = dutyCandidates({name: 'a', delayMs: 1200}, [peer('b', 400), peer('c', 2000), peer('d', -1)]);
		assert.deepEqual([older.names, older.isDeferred], [['a', 'b'], true]);
	});

	it('ranks daemons alike that have started together', () => {
		// Guards against a fleet that starts as a whole and lets every daemon write the lease at once.
		const {names, isDeferred} = dutyCandidates({name: 'a', delayMs: 400}, [peer('b', 400), peer('c', 400), peer('d', -1)]);
		assert.deepEqual([names, isDeferred], [['a', 'b', 'c'], false]);
	});
});
