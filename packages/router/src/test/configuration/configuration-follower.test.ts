import process from 'node:process';
import {createHash} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {assert} from 'chai';
import fc from 'fast-check';
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {
	applyDelta, type ConfigurationFollower, type ConfigurationStore, createConfigurationFollower, createConfigurationStore, emptySectionSet, type Reach,
} from '../../configuration.js';
import {ConfigurationHeadSchema, ConfigurationSectionsSchema, SectionBodySchema} from '../../links.js';
import {createFakeLinks, type FakeLinksOptions} from './fake-links.js';
import {createFakePlatform, type Fault, type FakePlatform} from './fake-platform.js';
import {sampleDocument} from './sample-document.js';

/** Number of generated histories per property test; CI runs a small fixed set. */
const histories = Number(process.env.STATE_HISTORIES ?? 40);

/** Encoded age of a head that its sender never knew to be the newest. */
const neverKnown = 0xFF_FF_FF_FF;

type Fleet = {
	platform: FakePlatform;
	store: ConfigurationStore;
	followers: Map<string, ConfigurationFollower>;
	messages: () => number;
	start: (name: string) => ConfigurationFollower;
};

type FleetOptions = FakeLinksOptions & {
	daemons: number;
	dataCentres: number;
	storeFault?: (name: string) => Fault;
	reach?: (name: string) => Reach;
};

/** Creates followers connected by fake links; daemon N is in data centre N modulo the number of data centres. */
function createFleet(options: FleetOptions): Fleet {
	const platform = createFakePlatform({delayMs: () => 5});
	const links = createFakeLinks(options);
	const names = Array.from({length: options.daemons}, (_, index) => `vm-${index}`);
	const centreOf = (name: string) => Number(name.slice(3)) % options.dataCentres;
	const followers = new Map<string, ConfigurationFollower>();
	const nearbyOf = names.slice(0, options.dataCentres).map((_, centre) => names.filter(name => centreOf(name) === centre));
	const start = (name: string) => {
		const link = links.join(name);
		const nearby = nearbyOf[centreOf(name)].filter(other => other !== name);
		const distant = names.filter(other => centreOf(other) !== centreOf(name));
		const rank = nearbyOf[centreOf(name)].indexOf(name);
		let turn = Number(name.slice(3));
		const follower = createConfigurationFollower({
			loader: createConfigurationStore({platform: platform.withFaults(() => options.storeFault?.(name) ?? 'none')}),
			send: link.send,
			peers: () => ({nearby, distant, rank}),
			reach: () => options.reach?.(name) ?? {heard: options.daemons, listed: options.daemons, newestVersion: 0},
			random: () => (turn++ % 10) / 10,
		});
		link.handle(follower.handlers);
		followers.set(name, follower);
		follower.start();
		return follower;
	};

	for (const name of names) {
		start(name);
	}

	return {
		platform, store: createConfigurationStore({platform}), followers, messages: () => links.messages, start,
	};
}

async function awaitWithClock<Result>(clock: Clock, promise: Promise<Result>): Promise<Result> {
	await clock.tickAsync(1000);
	return promise;
}

describe('createConfigurationFollower', () => {
	let clock: Clock;
	let fleet: Fleet | undefined;
	beforeEach(() => {
		clock = FakeTimers.install();
	});
	afterEach(() => {
		for (const follower of fleet?.followers.values() ?? []) {
			follower.stop();
		}

		clock.uninstall();
	});

	async function assertInForceWithin(boundMs: number, daemons: number, dataCentres: number) {
		fleet = createFleet({daemons, dataCentres});
		await awaitWithClock(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
		await clock.tickAsync(20_000);
		const readsBefore = fleet.platform.reads;
		await clock.tickAsync(10_000);
		assert.isBelow((fleet.platform.reads - readsBefore) / 10, 150, 'reads a second');
		const accepted = fleet.store.propose(sampleDocument(2), {expectedVersion: 1, who: 'ana'});
		await clock.tickAsync(50);
		await accepted;
		await clock.tickAsync(boundMs - 50);
		for (const [name, follower] of fleet.followers) {
			assert.equal(follower.current()?.version, 2, name);
			assert.isTrue(follower.mayServe(), name);
		}
	}

	it('brings a version into force on 9 daemons within 2 s', async () => assertInForceWithin(2000, 9, 4));

	it('brings a version into force on 650 daemons within 10 s', async () => assertInForceWithin(10_000, 650, 23));

	it('never returns to a lower version when messages are lost, duplicated or delayed', async () => {
		// Otherwise withdrawn keys would be accepted again. Heads and answers are
		// lost, duplicated and delayed, peers restart empty and receive older
		// versions first, and the store fails for some. Checked at each new version
		// of every daemon.
		await fc.assert(fc.asyncProperty(fc.array(fc.nat(9), {minLength: 50, maxLength: 50}), fc.array(fc.nat(4), {maxLength: 6}), async (draws, restarts) => {
			let turn = 0;
			const draw = () => draws[turn++ % draws.length];
			let faulty = true;
			const delays: ReadonlyArray<readonly number[]> = [[], [2], [2], [2], [2, 3000], [700], [9000], [2, 2], [2], []];
			const generatedFleet = createFleet({
				daemons: 5,
				dataCentres: 2,
				route: () => faulty ? delays[draw()] : [2],
				storeFault: () => faulty && draw() > 6 ? 'down' : 'none',
			});
			const highest = new Map<ConfigurationFollower, number>();
			const watch = (follower: ConfigurationFollower) => follower.subscribe(({version}) => {
				assert.isAbove(version, highest.get(follower) ?? 0);
				highest.set(follower, version);
			});
			for (const follower of generatedFleet.followers.values()) {
				watch(follower);
			}

			for (let version = 0; version < 6; version++) {
				await awaitWithClock(clock, generatedFleet.store.propose(sampleDocument(version + 1), {expectedVersion: version, who: 'ana'}));
				const restarted = restarts[version];
				if (restarted !== undefined) {
					generatedFleet.followers.get(`vm-${restarted}`)?.stop();
					watch(generatedFleet.start(`vm-${restarted}`));
				}
			}

			faulty = false;
			await clock.tickAsync(30_000);
			for (const [name, follower] of generatedFleet.followers) {
				assert.equal(follower.current()?.version, 6, name);
				follower.stop();
			}
		}), {seed: 1, numRuns: histories});
	});

	it('stops serving only on the side of a partition that may have missed a withdrawal', async () => {
		// Two of five daemons are partitioned from the store and their peers. They
		// can't know whether a key is withdrawn on the other side, so they must
		// accept no key after the isolation limit.
		const isCut = (name: string) => name === 'vm-3' || name === 'vm-4';
		let isPartitioned = false;
		fleet = createFleet({
			daemons: 5,
			dataCentres: 1,
			route: (from, to) => isPartitioned && isCut(from) !== isCut(to) ? [] : [2],
			storeFault: name => isPartitioned && isCut(name) ? 'down' : 'none',
			reach: name => ({heard: isPartitioned ? (isCut(name) ? 2 : 3) : 5, listed: 5, newestVersion: 0}),
		});
		await awaitWithClock(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
		await clock.tickAsync(5000);
		isPartitioned = true;
		await clock.tickAsync(13_000);
		assert.isTrue(fleet.followers.get('vm-3')?.mayServe(), 'still serves within the isolation limit');
		await clock.tickAsync(3000);
		const serving = [...fleet.followers].filter(([, follower]) => follower.mayServe()).map(([name]) => name);
		assert.deepEqual(serving, ['vm-0', 'vm-1', 'vm-2']);
		isPartitioned = false;
		await clock.tickAsync(5000);
		assert.isTrue(fleet.followers.get('vm-3')?.mayServe(), 'serves again after the partition heals');
	});

	it('goes on serving for an hour without the store while it receives heartbeats from a majority', async () => {
		let down = false;
		fleet = createFleet({daemons: 9, dataCentres: 3, storeFault: () => down ? 'down' : 'none'});
		await awaitWithClock(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
		await clock.tickAsync(5000);
		down = true;
		await clock.tickAsync(3_600_000);
		assert.isTrue([...fleet.followers.values()].every(follower => follower.mayServe()));
		const readsBefore = fleet.platform.reads;
		await clock.tickAsync(10_000);
		assert.isBelow((fleet.platform.reads - readsBefore) / 10 / 9, 0.5, 'reads a second of each daemon in an outage');
	});

	it('does not serve by an outdated version when its partition heals during a store outage', async () => {
		// One daemon is partitioned and misses a withdrawal; then the store fails for
		// all and the partition heals. The daemon receives heartbeats from a majority
		// again, none of which can read the store, but must not conclude that it has
		// missed nothing.
		let isPartitioned = false;
		let down = false;
		const isCut = (name: string) => name === 'vm-4';
		fleet = createFleet({
			daemons: 5,
			dataCentres: 1,
			route: (from, to) => isPartitioned && isCut(from) !== isCut(to) ? [] : [2],
			storeFault: name => down || (isPartitioned && isCut(name)) ? 'down' : 'none',
			reach: name => ({heard: isPartitioned ? (isCut(name) ? 1 : 4) : 5, listed: 5, newestVersion: isPartitioned && isCut(name) ? 1 : 2}),
		});
		await awaitWithClock(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
		await clock.tickAsync(5000);
		isPartitioned = true;
		await awaitWithClock(clock, fleet.store.propose(sampleDocument(2), {expectedVersion: 1, who: 'ana'}));
		await clock.tickAsync(60_000);
		down = true;
		await clock.tickAsync(60_000);
		isPartitioned = false;
		const back = fleet.followers.get('vm-4');
		for (let step = 0; step < 200; step++) {
			assert.isFalse(back?.mayServe() && back.current()?.version === 1);
			await clock.tickAsync(100);
		}

		assert.equal(back?.current()?.version, 2);
		assert.isTrue(back?.mayServe());
	});

	it('does not serve after a restart by a snapshot or a stale peer alone', async () => {
		// The store is down for all, and daemons start from an old snapshot. They
		// can't know whether its version is the newest, so they must not serve.
		const set = applyDelta(emptySectionSet, {changed: new Map([['fleet', '{"layout":1,"dataCentres":[]}']]), removed: []});
		fleet = createFleet({daemons: 3, dataCentres: 1, storeFault: () => 'down'});
		for (const follower of fleet.followers.values()) {
			follower.adopt(7, set);
			follower.adopt(6, emptySectionSet);
			follower.handlers.configurationHead?.({name: 'vm-9', incarnation: 1n}, create(ConfigurationHeadSchema, {version: 7n, ageMs: neverKnown}));
		}

		await clock.tickAsync(30_000);
		for (const follower of fleet.followers.values()) {
			assert.equal(follower.current()?.version, 7);
			assert.isFalse(follower.mayServe());
		}
	});

	it('keeps the version in force when this build does not support a newer one', async () => {
		// An upgraded daemon has accepted fields that this build would silently drop.
		// The daemon keeps the old version, reports the refusal, and stops serving at
		// the isolation limit.
		fleet = createFleet({daemons: 1, dataCentres: 1});
		await awaitWithClock(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
		await clock.tickAsync(2000);
		const [follower] = fleet.followers.values();
		const origin = {name: 'vm-9', incarnation: 1n};
		const body = create(SectionBodySchema, {name: 'fleet', json: '{"layout":99,"dataCentres":[{"name":"hobart-a","region":"tasmania"}]}'});
		const root = createHash('sha256');
		for (const [name, {digest}] of [...follower.held()?.set.sections ?? []].toSorted(([a], [b]) => a < b ? -1 : 1)) {
			root.update(`${name}\n`).update(name === 'fleet' ? createHash('sha256').update(body.json).digest() : digest);
		}

		follower.handlers.configurationHead?.(origin, create(ConfigurationHeadSchema, {version: 2n, ageMs: 0}));
		follower.handlers.configurationSections?.(origin, create(ConfigurationSectionsSchema, {
			version: 2n, fromVersion: 1n, root: root.digest(), changed: [body], parts: 1,
		}));
		assert.equal(follower.current()?.version, 1);
		assert.isTrue(follower.mayServe());
		for (let second = 0; second < 16; second++) {
			// Other peers keep announcing version 2, and a stale peer announces version 1 as the newest.
			follower.handlers.configurationHead?.(origin, create(ConfigurationHeadSchema, {version: 2n, ageMs: 0}));
			follower.handlers.configurationHead?.(origin, create(ConfigurationHeadSchema, {version: 1n, ageMs: 0}));
			await clock.tickAsync(1000);
		}

		assert.isFalse(follower.mayServe());
	});
});
