import {assert} from 'chai';
import {dutyCandidates} from '../lib/wiring/lease-wiring.js';

describe('dutyCandidates', () => {
	const peer = (daemon: string, leavesDuties = false) => ({daemon, leavesDuties});

	it('leaves out daemons that are stopping or have just started', () => {
		// Guards against a duty that stands still while daemons wait for one that doesn't take it.
		const {names, isDeferred} = dutyCandidates({name: 'a', leavesDuties: false}, [peer('b'), peer('c', true)]);
		assert.deepEqual([names, isDeferred], [['a', 'b'], false]);
	});

	it('puts a daemon that has just started behind those that can act at once', () => {
		// Guards against a duty that stands still because its new holder doesn't know the last orders.
		const {names, isDeferred} = dutyCandidates({name: 'a', leavesDuties: true}, [peer('b'), peer('c', true)]);
		assert.deepEqual([names, isDeferred], [['a', 'b'], true]);
	});

	it('ranks all daemons alike when none can act', () => {
		// Guards against a fleet that starts as a whole and lets every daemon write the lease at once.
		const {names, isDeferred} = dutyCandidates({name: 'a', leavesDuties: true}, [peer('b', true), peer('c', true)]);
		assert.deepEqual([names, isDeferred], [['a', 'b', 'c'], false]);
	});
});
