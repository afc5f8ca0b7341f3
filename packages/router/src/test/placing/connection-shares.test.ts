import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type LiveEndpoint} from '../../fleet.js';
import {type ConnectionShares, createConnectionShares} from '../../placing.js';

const limit = 100;
const refreshMs = 1000;
const endpoint: LiveEndpoint = {
	id: 'e1', service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 64, isLeaving: false, startedAt: 1, reportNumber: 1, software: 'v1', weights: new Map(),
};

/** A fleet in which each daemon knows what the others reported one refresh interval ago. */
type Fleet = {
	/** Reports these connections, and lets the time pass in which they reach all peers. */
	report: (used: readonly number[]) => void;
	maxOwn: (index: number) => number;
};

function createFleet(daemons: number): Fleet {
	let told: readonly number[] = Array.from({length: daemons}, () => 0);
	const shares: ConnectionShares[] = told.map((_used, index) => createConnectionShares({
		daemons: () => daemons,
		peersRunning: () => told.reduce((sum, used) => sum + used, 0) - told[index],
		refreshMs: () => refreshMs,
		limitOf: () => limit,
	}));
	return {
		report(used) {
			for (const [index, share] of shares.entries()) {
				share.reported([['e1', used[index], 0, 0, 0]]);
			}

			clock.tick(refreshMs + 1);
			told = used;
		},
		maxOwn: index => limit * shares[index].shareOf(endpoint),
	};
}

let clock: FakeTimers.Clock;

describe('createConnectionShares', () => {
	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('divides the limit evenly while nothing is used', () => {
		const fleet = createFleet(3);
		assert.approximately(fleet.maxOwn(0), limit * 0.9 / 3, 0.001);
	});

	it('lets a daemon with most callers use more than half, within a few refresh intervals', () => {
		// Guards against callers that are refused at one daemon while endpoints are idle.
		const fleet = createFleet(3);
		for (let round = 0; round < 5; round++) {
			fleet.report([Math.floor(fleet.maxOwn(0)), 0, 0]);
		}

		assert.isAbove(fleet.maxOwn(0), limit / 2);
	});

	for (const daemons of [3, 9, 71]) {
		it(`adds up to the limit at most, whoever of ${daemons} daemons uses how many`, () => {
			// Guards against connections that an endpoint resets, whose requests may have run.
			const fleet = createFleet(daemons);
			for (let round = 0; round < 50; round++) {
				// The daemons that have many callers change every ten rounds.
				const used = Array.from({length: daemons}, (_item, index) => (index + Math.floor(round / 10)) % 3 === 0 ? Math.floor(fleet.maxOwn(index)) : 0);
				fleet.report(used);
				const sum = used.reduce((total, _used, index) => total + fleet.maxOwn(index), 0);
				assert.isAtMost(sum, limit);
			}
		});
	}

	it('borrows no connections that peers may not know of yet', () => {
		// Guards against two daemons that take the same unused connections.
		const shares = createConnectionShares({
			daemons: () => 3, peersRunning: () => 0, refreshMs: () => refreshMs, limitOf: () => limit,
		});
		shares.reported([['e1', 30]]);
		clock.tick(refreshMs / 2);
		assert.approximately(limit * shares.shareOf(endpoint), limit * 0.9 / 3, 0.001);
		clock.tick(refreshMs);
		assert.isAbove(limit * shares.shareOf(endpoint), limit * 0.9 / 3);
	});

	it('gives back what it no longer uses', () => {
		const fleet = createFleet(3);
		fleet.report([30, 0, 0]);
		fleet.report([0, 0, 0]);
		fleet.report([0, 0, 0]);
		assert.approximately(fleet.maxOwn(0), limit * 0.9 / 3, 0.001);
	});
});
