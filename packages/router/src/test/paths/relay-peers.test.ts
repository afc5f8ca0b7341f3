import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {createRelayPeers, type RelayPeer} from '../../paths.js';

const fleetOf = (dataCentres: number, each: number): RelayPeer[] => Array.from({length: dataCentres * each}, (_item, index) => ({
	name: `vm-${index}`, address: `10.0.0.${index}:7600`, dataCentre: `dc-${Math.floor(index / each)}`,
}));

const none: ReadonlySet<string> = new Set();

describe('createRelayPeers', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	const peersOf = (fleet: readonly RelayPeer[], {name, dataCentre}: RelayPeer) =>
		createRelayPeers({name, dataCentre, peers: () => fleet.filter(peer => peer.name !== name)});

	it('spreads the daemons of a lost data centre over the others, few peers for each', () => {
		// Guards against a fleet in which some daemons carry the load of all that lost their paths.
		const fleet = fleetOf(23, 28);
		const lostDaemons = fleet.filter(({dataCentre}) => dataCentre === 'dc-0');
		const used = new Map<string, number>();
		for (const daemon of lostDaemons) {
			const peers = peersOf(fleet, daemon);
			for (const other of lostDaemons) {
				peers.failed(other.name);
			}

			const own = new Set(Array.from({length: 50}, () => {
				const {name} = peers.choose('e1', none)!;
				peers.started(name);
				return name;
			}));
			assert.isAtMost(own.size, 2);
			for (const name of own) {
				used.set(name, (used.get(name) ?? 0) + 1);
			}
		}

		assert.isAtMost(Math.max(...used.values()), 4);
	});

	it('prefers the own data centre, then peers that had a path to every endpoint', () => {
		// Guards against trying one partitioned peer after the other for each endpoint anew.
		const fleet = fleetOf(2, 4);
		const peers = peersOf(fleet, fleet[0]);
		const first = peers.choose('e1', none)!;
		assert.equal(first.dataCentre, 'dc-0');
		peers.hasNoPath(first.name, 'e1');
		assert.notEqual(peers.choose('e1', none)!.name, first.name);
		assert.notEqual(peers.choose('e2', none)!.name, first.name);
		for (const peer of fleet) {
			if (peer.name !== first.name) {
				peers.failed(peer.name);
			}
		}

		assert.equal(peers.choose('e2', none)!.name, first.name);
		clock.tick(1100);
		assert.notEqual(peers.choose('e1', new Set([first.name]))!.name, first.name);
	});

	it('offers a peer that failed rather than none, and none that was tried', () => {
		const fleet = fleetOf(1, 2);
		const peers = peersOf(fleet, fleet[0]);
		peers.failed('vm-1');
		assert.equal(peers.choose('e1', none)!.name, 'vm-1');
		assert.isUndefined(peers.choose('e1', new Set(['vm-1'])));
	});

	it('asks witnesses in different data centres', () => {
		// Guards against a crash that is confirmed only by daemons of one partitioned data centre.
		const fleet = fleetOf(4, 3);
		const witnesses = peersOf(fleet, fleet[0]).witnesses('e1', 3);
		assert.equal(new Set(witnesses.map(({dataCentre}) => dataCentre)).size, 3);
		assert.notInclude(witnesses.map(({dataCentre}) => dataCentre), 'dc-0');
	});
});
