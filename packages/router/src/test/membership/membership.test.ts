import process from 'node:process';
import {create} from '@bufbuild/protobuf';
import {assert} from 'chai';
import fc from 'fast-check';
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {
	HeartbeatSchema, MemberStateSchema, VmPhase, VmStateSchema,
} from '../../links.js';
import {createVmTable} from '../../lib/membership/vm-table.js';
import {Phase} from '../../membership.js';
import {createFakeFleet, type FakeFleet, type FakeFleetOptions} from './fake-fleet.js';

/** How many histories each property is tried on; CI runs a small fixed set. */
const histories = Number(process.env.STATE_HISTORIES ?? 40);

describe('createMembership', () => {
	let clock: Clock;
	let fleet: FakeFleet;
	beforeEach(() => {
		clock = FakeTimers.install();
		fleet = createFakeFleet({daemons: 0, dataCentres: 1});
	});
	afterEach(() => {
		fleet.stopAll();
		clock.uninstall();
	});

	async function startFleet(options: FakeFleetOptions) {
		fleet = createFakeFleet(options);
		for (const name of fleet.names) {
			fleet.start(name);
			await clock.tickAsync(37);
		}

		await clock.tickAsync(15_000);
	}

	it('finds every daemon live, with its version, and tells of a leaving one within 2 s', async () => {
		await startFleet({daemons: 12, dataCentres: 4});
		for (const membership of fleet.memberships.values()) {
			assert.deepEqual(membership.reach(), {heard: 12, listed: 12, newestVersion: 7});
			assert.isTrue(membership.confirmations().every(daemon => daemon.version === 7));
		}

		fleet.memberships.get('vm-5')?.setPhase(Phase.LEAVING);
		await clock.tickAsync(2000);
		assert.equal(fleet.countStatus('vm-5', 'leaving'), 12);
	});

	it('tells a restart from a pause', async () => {
		// One daemon stops without a word and comes back as a new process; another
		// is paused and goes on. Both are silent first; only the first has lost
		// what it knew, and its peers must learn that.
		await startFleet({daemons: 12, dataCentres: 4});
		fleet.stop('vm-5');
		await clock.tickAsync(25_000);
		assert.equal(fleet.countStatus('vm-5', 'suspect'), 11);
		fleet.start('vm-5', 2n);
		await clock.tickAsync(5000);
		assert.equal(fleet.countStatus('vm-5', 'live'), 12);
		const seen = fleet.changes.get('vm-2')?.filter(({member}) => member.name === 'vm-5').map(({member}) => `${member.status}/${member.incarnation}`);
		assert.deepEqual(seen?.slice(-2), ['suspect/1', 'live/2']);
	});

	it('tells an older process that a newer one has its name', async () => {
		await startFleet({daemons: 3, dataCentres: 1});
		const older = fleet.memberships.get('vm-0');
		fleet.start('vm-0', 2n);
		await clock.tickAsync(3000);
		const news = create(MemberStateSchema, {name: 'vm-0', incarnation: 2n, phase: Phase.READY});
		older?.handlers.heartbeat?.({name: 'vm-1', incarnation: 1n}, create(HeartbeatSchema, {news: [news]}));
		older?.stop();
		assert.deepEqual(fleet.superseded, ['vm-0/1']);
	});

	it('heals after a region was cut off for an hour', async () => {
		// Two regions hear nothing of each other for an hour. Each goes on with its
		// own; no daemon may be taken for dead or restarted, and both find each
		// other again within half a minute, though all beyond were silent.
		let apart = false;
		const sideOf = (name: string) => Number(name.slice(3)) % 4 < 2;
		await startFleet({daemons: 8, dataCentres: 4, route: (from, to) => apart && sideOf(from) !== sideOf(to) ? [] : [5]});
		apart = true;
		await clock.tickAsync(3_600_000);
		for (const membership of fleet.memberships.values()) {
			assert.deepEqual(membership.reach(), {heard: 4, listed: 8, newestVersion: 7});
		}

		apart = false;
		await clock.tickAsync(30_000);
		for (const [name, membership] of fleet.memberships) {
			assert.deepEqual(membership.reach(), {heard: 8, listed: 8, newestVersion: 7}, name);
			const bad = fleet.changes.get(name)?.filter(({member}) => member.status === 'left' || member.incarnation > 1n);
			assert.isEmpty(bad);
		}
	});

	it('does not call a daemon silent for longer than it could have heard it', async () => {
		// One daemon is cut off and may still serve by an old version. Another has
		// just started and never heard it: were that infinite silence, it would
		// tell the operator at once that the first has stopped.
		await startFleet({daemons: 3, dataCentres: 1, route: (from, to) => from === 'vm-2' || to === 'vm-2' ? [] : [2]});
		fleet.stop('vm-0');
		fleet.start('vm-0', 2n);
		await clock.tickAsync(2000);
		const cutOff = fleet.memberships.get('vm-0')?.confirmations().find(({vm}) => vm === 'vm-2');
		assert.isAtMost(cutOff?.silentMs ?? Infinity, 2000);
	});

	it('goes on when the representatives of a data centre die', async () => {
		await startFleet({daemons: 16, dataCentres: 2});
		for (const name of ['vm-0', 'vm-10', 'vm-1', 'vm-11']) {
			fleet.stop(name);
		}

		await clock.tickAsync(60_000);
		for (const [name, membership] of fleet.memberships) {
			assert.deepEqual(membership.reach(), {heard: 12, listed: 16, newestVersion: 7}, name);
		}
	});

	it('gives endpoints on a leaving VM no new work within 5 s, though few read the list', async () => {
		// The platform marks an endpoint's VM as leaving. Every daemon must know
		// within seconds, while the list is too long for all to read it often.
		await startFleet({daemons: 20, dataCentres: 4});
		fleet.list.vms.push({
			name: 'engine-1', role: 'endpoint', dataCentre: 'dc-0', address: '', state: 'leaving',
		});
		fleet.list.version++;
		const readsBefore = fleet.listReads();
		await clock.tickAsync(5000);
		assert.isTrue([...fleet.memberships.values()].every(membership => membership.isLeaving('engine-1')));
		assert.isAtMost(fleet.listReads() - readsBefore, 8);
	});

	it('takes a VM for gone only when an earlier list had it, and by no older list', async () => {
		// The list lags: a new VM may be missing from it, and an old copy may lack
		// what a newer one has. Taking absence for death would stop live daemons.
		await startFleet({daemons: 2, dataCentres: 1});
		const full = fleet.list;
		fleet.list = {version: 0, vms: full.vms.filter(vm => vm.name === 'vm-0')};
		await clock.tickAsync(30_000);
		assert.equal(fleet.countStatus('vm-1', 'live'), 2);
		fleet.list = {version: 2, vms: fleet.list.vms};
		await clock.tickAsync(30_000);
		assert.equal(fleet.countStatus('vm-1', 'left'), 2);
	});

	it('does not take late news for the state of a VM that came back', () => {
		const vms = createVmTable();
		const news = (listVersion: bigint, phase: VmPhase) => create(VmStateSchema, {name: 'engine-1', listVersion, phase});
		assert.isTrue(vms.apply(news(5n, VmPhase.LEAVING)));
		assert.isTrue(vms.apply(news(6n, VmPhase.LIVE)));
		assert.isFalse(vms.apply(news(5n, VmPhase.LEAVING)));
		assert.isFalse(vms.isLeaving('engine-1'));
	});

	it('never goes back to an older process or phase, whatever is lost, doubled or late', async () => {
		// Late news of a process that has left would send work and tokens to a
		// daemon that is no more. Messages are lost, doubled and late; daemons
		// restart and leave. Checked at each change that any daemon sees.
		await fc.assert(fc.asyncProperty(fc.array(fc.nat(7), {minLength: 40, maxLength: 40}), fc.array(fc.nat(5), {minLength: 1, maxLength: 5}), async (draws, restarts) => {
			let turn = 0;
			let faulty = true;
			const delays: ReadonlyArray<readonly number[]> = [[], [2], [2, 4000], [300], [12_000], [2, 2], [2], []];
			fleet = createFakeFleet({daemons: 6, dataCentres: 2, route: () => faulty ? delays[draws[turn++ % draws.length]] : [2]});
			for (const name of fleet.names) {
				fleet.start(name);
			}

			let incarnation = 1n;
			for (const index of restarts) {
				await clock.tickAsync(4000);
				fleet.memberships.get(`vm-${index}`)?.setPhase(Phase.LEFT);
				fleet.stop(`vm-${index}`);
				incarnation++;
				fleet.start(`vm-${index}`, incarnation);
			}

			faulty = false;
			await clock.tickAsync(60_000);
			for (const changes of fleet.changes.values()) {
				for (const {before, member} of changes) {
					assert.isFalse(before !== undefined && member.incarnation < before.incarnation);
					assert.isFalse(before?.status === 'left' && member.incarnation === before.incarnation);
				}
			}

			for (const membership of fleet.memberships.values()) {
				assert.deepEqual(membership.reach(), {heard: 6, listed: 6, newestVersion: 7});
			}

			fleet.stopAll();
		}), {seed: 1, numRuns: histories});
	});
});
