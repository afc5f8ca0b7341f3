import {assert} from 'chai';
import {type Refusal} from 'hickorywalk/quarantine.js';
import {type EntryParts} from '../lib/wiring/parts.js';
import {wireRestore} from '../lib/wiring/restore-wiring.js';

const names = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
const refusal: Refusal = {digest: 'bad', term: 2, msLeft: 4000};

describe('wireRestore', () => {
	it('has each daemon write its directory entry again, and two of them the refusals in force', () => {
		// Guards against a restarted fleet that finds no peers, or lets requests crash endpoints that it had refused.
		const listeners: Array<(era: number) => void> = [];
		const polled: string[] = [];
		const keysRead: string[] = [];
		const saved: Refusal[] = [];
		for (const name of names) {
			wireRestore({
				settings: {name},
				store: {
					onRestored(listener: (era: number) => void) {
						listeners.push(listener);
					},
				},
				peers: {live: () => names.filter(other => other !== name).map(daemon => ({report: {daemon}}))},
				directory: {
					entriesLost() {
						polled.push(name);
					},
				},
				fleetKey: {
					refresh() {
						keysRead.push(name);
					},
				},
				quarantine: {current: () => [refusal]},
				refusalRows: {
					save(item: Refusal) {
						saved.push(item);
					},
				},
			} as unknown as EntryParts);
		}

		for (const listener of listeners) {
			listener(2);
		}

		assert.deepEqual(polled, names);
		assert.deepEqual(keysRead, names);
		assert.deepEqual(saved, [refusal, refusal]);
	});
});
