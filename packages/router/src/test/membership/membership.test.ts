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

/** Number of random histories per property; CI runs a small fixed set. */
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

	it('sees every daemon live with its version, and a leaving one within 2 s', async () => {
		await startFleet({daemons: 12, dataCentres: 4});
		for (const membership of fleet.memberships.values()) {
			assert.deepEqual(membership.reach(), {heard: 12, listed: 12, newestVersion: 7});
			assert.isTrue(membership.confirmations().every(daemon => daemon.version === 7));
		}

		fleet.memberships.get('vm-5')?.setPhase(Phase.LEAVING);
		await clock.tickAsync(2000);
		assert.equal(fleet.countStatus('vm-5', 'leaving'), 12);
	});

	it('distinguishes a restart from silence', async () => {
		// A daemon stops without notice and comes back as a new process, while a paused
		// one would come back as the same process. Both are silent first; only a restart
		// loses state, and peers must learn of it.
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

	it('notifies an older process of a newer one with its name', async () => {
		await startFleet({daemons: 3, dataCentres: 1});
		const older = fleet.memberships.get('vm-0');
		fleet.start('vm-0', 2n);
		await clock.tickAsync(3000);
		const news = create(MemberStateSchema, {name: 'vm-0', incarnation: 2n, phase: Phase.READY});
		older?.handlers.heartbeat?.({name: 'vm-1', incarnation: 1n}, create(HeartbeatSchema, {news: [news]}));
		older?.stop();
		assert.deepEqual(fleet.superseded, ['vm-0/1']);
	});

	it('recovers after two regions were partitioned for an hour', async () => {
		// Two regions are partitioned for an hour. Each continues on its own; no daemon
		// may count as dead or restarted, and both regions must find each other again
		// within half a minute although all remote daemons were silent.
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

	it('reports a daemon silent for no longer than it has known it', async () => {
		// A daemon is cut off and may still serve an old configuration version. Another
		// has just started and never heard it. If that counted as infinite silence, it
		// would immediately report to the operator that the first has stopped.
		await startFleet({daemons: 3, dataCentres: 1, route: (from, to) => from === 'vm-2' || to === 'vm-2' ? [] : [2]});
		fleet.stop('vm-0');
		fleet.start('vm-0', 2n);
		await clock.tickAsync(2000);
		const cutOff = fleet.memberships.get('vm-0')?.confirmations().find(({vm}) => vm === 'vm-2');
		assert.isAtMost(cutOff?.silentMs ?? Infinity, 2000);
	});

	it('keeps all daemons connected when the representatives of a data centre die', async () => {
		await startFleet({daemons: 16, dataCentres: 2});
		for (const name of ['vm-0', 'vm-10', 'vm-1', 'vm-11']) {
			fleet.stop(name);
		}

		await clock.tickAsync(60_000);
		for (const [name, membership] of fleet.memberships) {
			assert.deepEqual(membership.reach(), {heard: 12, listed: 16, newestVersion: 7}, name);
		}
	});

	it('learns of a leaving endpoint VM within 5 s although few daemons read the list', async () => {
		// The platform marks an endpoint's VM as leaving. Every daemon must know within
		// seconds to place no new work there, but the list is too long for all daemons
		// to read it often.
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

	it('treats a VM as gone only if an earlier list had it, and ignores older lists', async () => {
		// The list may lag: a new VM may be missing from it, and an old copy may lack
		// entries of a newer one. Treating absence as death would stop live daemons.
		await startFleet({daemons: 2, dataCentres: 1});
		const full = fleet.list;
		fleet.list = {version: 0, vms: full.vms.filter(vm => vm.name === 'vm-0')};
		await clock.tickAsync(30_000);
		assert.equal(fleet.countStatus('vm-1', 'live'), 2);
		fleet.list = {version: 2, vms: fleet.list.vms};
		await clock.tickAsync(30_000);
		assert.equal(fleet.countStatus('vm-1', 'left'), 2);
	});

	it('ignores late updates of a VM that is live again', () => {
		const vms = createVmTable();
		const news = (listVersion: bigint, phase: VmPhase) => create(VmStateSchema, {name: 'engine-1', listVersion, phase});
		assert.isTrue(vms.apply(news(5n, VmPhase.LEAVING)));
		assert.isTrue(vms.apply(news(6n, VmPhase.LIVE)));
		assert.isFalse(vms.apply(news(5n, VmPhase.LEAVING)));
		assert.isFalse(vms.isLeaving('engine-1'));
	});

	it('never reverts to an older process or phase when messages are lost, duplicated or delayed', async () => {
		// A late update of a process that has left would send work and tokens to a daemon
		// that no longer runs. Messages are lost, duplicated and delayed; daemons restart
		// and leave. Checked at each change that any daemon sees.
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
