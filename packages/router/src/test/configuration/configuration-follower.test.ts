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

/** How many histories each property is tried on; CI runs a small fixed set. */
const histories = Number(process.env.STATE_HISTORIES ?? 40);

/** The age of a head that its sender never knew to be the newest. */
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

/** Followers over fake links; daemon N stands in data centre N modulo their number. */
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
			loader: createConfigurationStore({platform: platform.through(() => options.storeFault?.(name) ?? 'none')}),
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

async function settle<Result>(clock: Clock, promise: Promise<Result>): Promise<Result> {
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
		await settle(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
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

	it('never goes back, whatever is lost, doubled or late', async () => {
		// Callers of a withdrawn key would be let in again. Heads and answers come
		// doubled and late, peers restart empty and hear of older versions first,
		// and the store fails for some. Checked after every version anywhere.
		await fc.assert(fc.asyncProperty(fc.array(fc.nat(9), {minLength: 50, maxLength: 50}), fc.array(fc.nat(4), {maxLength: 6}), async (draws, restarts) => {
			let turn = 0;
			const draw = () => draws[turn++ % draws.length];
			let faulty = true;
			const delays: ReadonlyArray<readonly number[]> = [[], [2], [2], [2], [2, 3000], [700], [9000], [2, 2], [2], []];
			const own = createFleet({
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
			for (const follower of own.followers.values()) {
				watch(follower);
			}

			for (let version = 0; version < 6; version++) {
				await settle(clock, own.store.propose(sampleDocument(version + 1), {expectedVersion: version, who: 'ana'}));
				const restarted = restarts[version];
				if (restarted !== undefined) {
					own.followers.get(`vm-${restarted}`)?.stop();
					watch(own.start(`vm-${restarted}`));
				}
			}

			faulty = false;
			await clock.tickAsync(30_000);
			for (const [name, follower] of own.followers) {
				assert.equal(follower.current()?.version, 6, name);
				follower.stop();
			}
		}), {seed: 1, numRuns: histories});
	});

	it('stops serving on the side that may have missed a withdrawal, and only there', async () => {
		// Two of five daemons are cut from store and peers. A key is withdrawn on
		// the other side; the two can't know, so after the limit they take no key.
		const cut = (name: string) => name === 'vm-3' || name === 'vm-4';
		let apart = false;
		fleet = createFleet({
			daemons: 5,
			dataCentres: 1,
			route: (from, to) => apart && cut(from) !== cut(to) ? [] : [2],
			storeFault: name => apart && cut(name) ? 'down' : 'none',
			reach: name => ({heard: apart ? (cut(name) ? 2 : 3) : 5, listed: 5, newestVersion: 0}),
		});
		await settle(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
		await clock.tickAsync(5000);
		apart = true;
		await clock.tickAsync(13_000);
		assert.isTrue(fleet.followers.get('vm-3')?.mayServe(), 'a short cut costs nothing');
		await clock.tickAsync(3000);
		const serving = [...fleet.followers].filter(([, follower]) => follower.mayServe()).map(([name]) => name);
		assert.deepEqual(serving, ['vm-0', 'vm-1', 'vm-2']);
		apart = false;
		await clock.tickAsync(5000);
		assert.isTrue(fleet.followers.get('vm-3')?.mayServe(), 'it serves again once healed');
	});

	it('serves on through an hour without the store while a majority is heard', async () => {
		let down = false;
		fleet = createFleet({daemons: 9, dataCentres: 3, storeFault: () => down ? 'down' : 'none'});
		await settle(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
		await clock.tickAsync(5000);
		down = true;
		await clock.tickAsync(3_600_000);
		assert.isTrue([...fleet.followers.values()].every(follower => follower.mayServe()));
		const readsBefore = fleet.platform.reads;
		await clock.tickAsync(10_000);
		assert.isBelow((fleet.platform.reads - readsBefore) / 10 / 9, 0.5, 'reads a second of each daemon in an outage');
	});

	it('does not serve by what it had when it comes back from a cut into a store outage', async () => {
		// One daemon is cut off and misses a withdrawal; then the store goes down
		// for all and the cut heals. It hears a majority again, none of which has
		// news of the store, but it must not take that for "I missed nothing".
		let apart = false;
		let down = false;
		const isCut = (name: string) => name === 'vm-4';
		fleet = createFleet({
			daemons: 5,
			dataCentres: 1,
			route: (from, to) => apart && isCut(from) !== isCut(to) ? [] : [2],
			storeFault: name => down || (apart && isCut(name)) ? 'down' : 'none',
			reach: name => ({heard: apart ? (isCut(name) ? 1 : 4) : 5, listed: 5, newestVersion: apart && isCut(name) ? 1 : 2}),
		});
		await settle(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
		await clock.tickAsync(5000);
		apart = true;
		await settle(clock, fleet.store.propose(sampleDocument(2), {expectedVersion: 1, who: 'ana'}));
		await clock.tickAsync(60_000);
		down = true;
		await clock.tickAsync(60_000);
		apart = false;
		const back = fleet.followers.get('vm-4');
		for (let step = 0; step < 200; step++) {
			assert.isFalse(back?.mayServe() && back.current()?.version === 1);
			await clock.tickAsync(100);
		}

		assert.equal(back?.current()?.version, 2);
		assert.isTrue(back?.mayServe());
	});

	it('does not serve by a snapshot or a stale peer alone after a restart', async () => {
		// The store is down for all, and a daemon starts from an old snapshot. It
		// can't know whether the snapshot is the newest version, so it must not guess.
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

	it('keeps what is in force when this build does not take a newer version', async () => {
		// An upgraded daemon accepted fields that this build would drop in
		// silence. It keeps the old version, says so, and stops at the limit.
		fleet = createFleet({daemons: 1, dataCentres: 1});
		await settle(clock, fleet.store.propose(sampleDocument(1), {expectedVersion: 0, who: 'ana'}));
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
			// Others go on to tell of version 2, and a stale peer calls version 1 the newest.
			follower.handlers.configurationHead?.(origin, create(ConfigurationHeadSchema, {version: 2n, ageMs: 0}));
			follower.handlers.configurationHead?.(origin, create(ConfigurationHeadSchema, {version: 1n, ageMs: 0}));
			await clock.tickAsync(1000);
		}

		assert.isFalse(follower.mayServe());
	});
});
