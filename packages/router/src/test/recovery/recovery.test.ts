import {Buffer} from 'node:buffer';
import {assert} from 'chai';
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {create, toBinary} from '@bufbuild/protobuf';
import {
	type ConfigurationFollower, createConfigurationFollower, createConfigurationStore,
} from '../../configuration.js';
import {SnapshotSchema} from '../../links.js';
import {
	createConfigurationPart, createRecovery, type Recovery, type RecoveryPart, type RecoveryReport,
} from '../../recovery.js';
import {createSnapshotPart} from '../../lib/recovery/recovery-part.js';
import {createFakeLinks, type FakeLinksOptions} from '../configuration/fake-links.js';
import {createFakePlatform, type Fault} from '../configuration/fake-platform.js';
import {sampleDocument} from '../configuration/sample-document.js';

type Daemon = {follower: ConfigurationFollower; recovery: Recovery; warm: RecoveryPart & {content: string}; report?: RecoveryReport};

/** Daemons of one data centre with real configuration followers and links between all of them. */
function createFleet(size: number, options: FakeLinksOptions & {delayMs?: () => number} = {}) {
	const platform = createFakePlatform(options);
	const links = createFakeLinks(options);
	const names = Array.from({length: size}, (_, index) => `vm-${index}`);
	const daemons = new Map<string, Daemon>();
	const start = (name: string) => {
		const link = links.join(name);
		const peers = () => ({nearby: names.filter(other => other !== name), distant: [], rank: names.indexOf(name)});
		const follower = createConfigurationFollower({
			loader: createConfigurationStore({platform}),
			send: link.send,
			peers,
			reach: () => ({heard: size, listed: size, newestVersion: 0}),
			random: () => 0.5,
		});
		const warm = {
			name: 'routing',
			content: '',
			exportContent: () => warm.content === '' ? undefined : new TextEncoder().encode(warm.content),
			importContent(content: Uint8Array) {
				warm.content = new TextDecoder().decode(content);
			},
		};
		const recovery = createRecovery({
			objects: platform.objects,
			send: link.send,
			peers,
			parts: [createConfigurationPart(follower), warm],
			canServe: follower.mayServe,
			holdsDuty: () => name === 'vm-0',
			createId: () => `${name}/${performance.now()}`,
		});
		link.handle(follower.handlers);
		link.handle(recovery.handlers);
		const daemon: Daemon = {follower, recovery, warm};
		daemons.set(name, daemon);
		follower.start();
		recovery.start();
		void report(daemon);
	};

	const stop = (name: string) => {
		daemons.get(name)?.follower.stop();
		daemons.get(name)?.recovery.stop();
		links.leave(name);
	};

	return {
		platform, names, daemons, start, stop, ready: () => names.filter(name => daemons.get(name)?.recovery.isReady()),
	};
}

async function report(daemon: Daemon): Promise<void> {
	try {
		daemon.report = await daemon.recovery.recover();
	} catch {
		// Stopped by the test before it was ready.
	}
}

describe('createRecovery', () => {
	let clock: Clock;
	let fleet: ReturnType<typeof createFleet>;
	beforeEach(() => {
		clock = FakeTimers.install();
	});
	afterEach(() => {
		for (const name of fleet.names) {
			fleet.stop(name);
		}

		clock.uninstall();
	});

	async function startFleet(size: number, options?: Parameters<typeof createFleet>[1]) {
		fleet = createFleet(size, options);
		const accepted = createConfigurationStore({platform: fleet.platform}).propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'});
		await clock.tickAsync(5000);
		await accepted;
		for (const name of fleet.names) {
			fleet.start(name);
		}

		await clock.tickAsync(10_000);
		const first = fleet.daemons.get('vm-0');
		assert.exists(first);
		first.warm.content = 'hot prefixes';
	}

	function setStore(fault: Fault) {
		fleet.platform.setFault(() => fault);
	}

	it('recovers from its peers at once during an hour-long store outage', async () => {
		// A daemon restarts during a long outage of the table and the object store. Its
		// peers have the active version and the cached prefixes, and a majority of them
		// without a newer version proves that none was accepted.
		await startFleet(4);
		setStore('down');
		await clock.tickAsync(1_800_000);
		for (let restart = 0; restart < 4; restart++) {
			fleet.stop('vm-3');
			fleet.start('vm-3');
			await clock.tickAsync(3700);
			const daemon = fleet.daemons.get('vm-3');
			assert.isTrue(daemon?.recovery.isReady());
			assert.equal(daemon?.warm.content, 'hot prefixes');
			assert.isBelow(daemon?.report?.timeToServeMs ?? Infinity, 500);
		}
	});

	it('stays unready after a restart of all daemons while the table is down, and serves once it is back', async () => {
		// All daemons restart at once while the table is down. The snapshot is readable,
		// but a key may have been revoked after it was written, so it is not safe to
		// serve from. Once the table answers, all must soon be ready.
		await startFleet(6);
		await clock.tickAsync(60_000);
		for (const name of fleet.names) {
			fleet.stop(name);
		}

		const {table} = fleet.platform;
		const {get} = table;
		table.get = async key => {
			await platformDown();
			return get(key);
		};

		let down = true;
		const platformDown = async () => {
			if (down) {
				fleet.platform.setFault(() => 'down');
				try {
					await get('');
				} finally {
					fleet.platform.setFault(() => 'none');
				}
			}
		};

		for (const name of fleet.names) {
			fleet.start(name);
		}

		await clock.tickAsync(600_000);
		assert.equal(fleet.daemons.get('vm-0')?.follower.current()?.version, 1, 'the snapshot was read');
		assert.isEmpty(fleet.ready());
		assert.isTrue([...fleet.daemons.values()].every(daemon => daemon.report === undefined));
		down = false;
		await clock.tickAsync(10_000);
		assert.lengthOf(fleet.ready(), 6);
		assert.equal(fleet.daemons.get('vm-5')?.warm.content, 'hot prefixes');
	});

	it('recovers all daemons at once on a slow store with a bounded number of reads', async () => {
		await startFleet(30, {delayMs: () => 400});
		await clock.tickAsync(60_000);
		for (const name of fleet.names) {
			fleet.stop(name);
		}

		const readsBefore = fleet.platform.reads;
		for (const name of fleet.names) {
			fleet.start(name);
		}

		await clock.tickAsync(6000);
		assert.lengthOf(fleet.ready(), 30);
		assert.isBelow(fleet.platform.reads - readsBefore, 60);
	});

	it('falls back to an older snapshot when newer ones are damaged or of a newer layout', async () => {
		// The newest objects can't be used: one is damaged, one was written by an
		// upgraded daemon. Importing either would corrupt the state of the daemon.
		await startFleet(1);
		await clock.tickAsync(60_000);
		const blobs = [...fleet.platform.blobs].filter(([name]) => name.startsWith('recovery/'));
		assert.lengthOf(blobs, 1);
		const damaged = Buffer.from(blobs[0][1]);
		damaged.write('cold', damaged.indexOf('hot prefixes'));
		const newer = createSnapshotPart('', 'routing', Buffer.from('of another layout'));
		fleet.platform.blobs.set('recovery/snapshots/000000000002', damaged);
		fleet.platform.blobs.set('recovery/snapshots/000000000003', toBinary(SnapshotSchema, create(SnapshotSchema, {layout: 99, parts: [newer]})));
		fleet.stop('vm-0');
		fleet.start('vm-0');
		await clock.tickAsync(3000);
		assert.equal(fleet.daemons.get('vm-0')?.warm.content, 'hot prefixes');
	});

	it('requests from another peer when one does not answer', async () => {
		await startFleet(4, {route: (from, to) => from === 'vm-0' && to === 'vm-3' ? [] : [2]});
		const second = fleet.daemons.get('vm-1');
		assert.exists(second);
		second.warm.content = 'hot prefixes';
		setStore('down');
		fleet.stop('vm-3');
		fleet.start('vm-3');
		await clock.tickAsync(3000);
		assert.equal(fleet.daemons.get('vm-3')?.report?.sources.get('routing'), 'peer');
	});

	it('writes no snapshot before it is ready', async () => {
		// A daemon without any state has the duty of writing snapshots. Its snapshot
		// would displace those that others could start from.
		fleet = createFleet(1);
		fleet.start('vm-0');
		await clock.tickAsync(300_000);
		assert.isEmpty(fleet.ready());
		assert.isEmpty([...fleet.platform.blobs.keys()]);
	});

	it('writes the next snapshot after the answer to a write was lost', async () => {
		await startFleet(1);
		setStore('lost');
		await clock.tickAsync(120_000);
		setStore('none');
		await clock.tickAsync(300_000);
		const names = [...fleet.platform.blobs.keys()].filter(name => name.startsWith('recovery/'));
		assert.lengthOf(names, 3);
	});
});
