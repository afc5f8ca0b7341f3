/**
 * Measures how soon restarted daemons serve, and the reads that this costs the
 * store, at 9, 65 and 650 daemons: real configuration followers and recovery
 * over in-memory links on a fake clock. Prints JSON lines.
 *
 * - `herd`: all daemons restart at once; a call to the store takes 20 ms.
 * - `herd-slow-store`: the same with 400 ms.
 * - `one-in-outage`: one daemon restarts when table and objects have been down for an hour.
 */
import {Buffer} from 'node:buffer';
import FakeTimers, {type Clock} from '@sinonjs/fake-timers';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	type ConfigurationFollower, createConfigurationFollower, createConfigurationStore, parseDocument,
} from 'hickorywalk/configuration.js';
import {
	bodySize, dispatch, type PeerBody, type PeerHandlers,
} from 'hickorywalk/links.js';
import {
	type ObjectClient, PlatformUnavailableError, type TableClient, type TableRow,
} from 'hickorywalk/platform.js';
import {createConfigurationPart, createRecovery, type Recovery} from 'hickorywalk/recovery.js';

type Size = {daemons: number; dataCentres: number};
type Store = {
	table: TableClient; objects: ObjectClient; tableReads: number; objectReads: number; delayMs: number; down: boolean;
};
type RunningDaemon = {follower: ConfigurationFollower; recovery: Recovery; timeToServeMs?: number};
type Fleet = {store: Store; start: (index: number) => RunningDaemon; stop: (index: number) => void; bytes: () => number};

const sizes: readonly Size[] = [{daemons: 9, dataCentres: 4}, {daemons: 65, dataCentres: 6}, {daemons: 650, dataCentres: 23}];
const seed = 1;
const linkDelayMs = 2;
const usualDelayMs = 20;
const slowDelayMs = 400;
const settleMs = 20_000;
const outageMs = 3_600_000;
const secondMs = 1000;
const longestSeconds = 60;

const scenarios = {
	herd: async (fleet: Fleet, size: Size, clock: Clock) => restartAll(fleet, size, clock),
	async 'herd-slow-store'(fleet: Fleet, size: Size, clock: Clock) {
		fleet.store.delayMs = slowDelayMs;
		return restartAll(fleet, size, clock);
	},
	async 'one-in-outage'(fleet: Fleet, size: Size, clock: Clock) {
		fleet.store.down = true;
		// Simulating an hour of polls by 650 daemons takes long; its last minute shows the same.
		await clock.tickAsync(size.daemons > 100 ? longestSeconds * secondMs : outageMs);
		fleet.stop(1);
		return measureRestart(fleet, () => [fleet.start(1)], clock);
	},
} as const;

export async function runRecoveryBench(): Promise<void> {
	for (const size of sizes) {
		for (const [scenario, run] of Object.entries(scenarios)) {
			const clock = FakeTimers.install();
			const fleet = createFleet(size);
			await startAll(fleet, size, clock);
			const result = await run(fleet, size, clock);
			for (let index = 0; index < size.daemons; index++) {
				fleet.stop(index);
			}

			clock.uninstall();
			console.log(JSON.stringify({scenario, daemons: size.daemons, ...result}));
		}
	}
}

async function startAll(fleet: Fleet, size: Size, clock: Clock): Promise<void> {
	const accepted = createConfigurationStore({platform: fleet.store}).propose(sampleDocument, {expectedVersion: 0, who: 'bench'});
	await clock.tickAsync(secondMs);
	await accepted;
	for (let index = 0; index < size.daemons; index++) {
		fleet.start(index);
	}

	await clock.tickAsync(settleMs);
}

async function restartAll(fleet: Fleet, size: Size, clock: Clock) {
	for (let index = 0; index < size.daemons; index++) {
		fleet.stop(index);
	}

	return measureRestart(fleet, () => Array.from({length: size.daemons}, (_, index) => fleet.start(index)), clock);
}

/** Advances the clock until all started daemons are ready, at most `longestSeconds`; reports the store's reads in the busiest second. */
async function measureRestart(fleet: Fleet, start: () => RunningDaemon[], clock: Clock) {
	const {store} = fleet;
	const bytesBefore = fleet.bytes();
	let peakTableReads = 0;
	let peakObjectReads = 0;
	let before = {...store};
	const running = start();
	for (let second = 0; second < longestSeconds && running.some(one => one.timeToServeMs === undefined); second++) {
		await clock.tickAsync(secondMs);
		peakTableReads = Math.max(peakTableReads, store.tableReads - before.tableReads);
		peakObjectReads = Math.max(peakObjectReads, store.objectReads - before.objectReads);
		before = {...store};
	}

	const times = running.map(one => one.timeToServeMs ?? Infinity).toSorted((a, b) => a - b);
	return {
		time_to_serve_ms: times.at(-1),
		time_to_serve_median_ms: times[Math.floor(times.length / 2)],
		not_ready: times.filter(time => time === Infinity).length,
		table_reads_per_s: peakTableReads,
		object_reads_per_s: peakObjectReads,
		bytes_per_restart: (fleet.bytes() - bytesBefore) / running.length,
	};
}

function createFleet(size: Size): Fleet {
	const store = createStore();
	const handlers = new Map<string, PeerHandlers[]>();
	const running = new Map<number, RunningDaemon>();
	const generator = xoroshiro128plus(seed);
	let bytes = 0;
	const names = Array.from({length: size.daemons}, (_, index) => `vm-${index}`);
	const daemonsByDataCentre = Array.from({length: size.dataCentres}, (_, centre) => names.filter((_name, index) => index % size.dataCentres === centre));

	function start(index: number): RunningDaemon {
		const name = names[index];
		const sameDataCentre = daemonsByDataCentre[index % size.dataCentres];
		const view = {
			nearby: sameDataCentre.filter(other => other !== name),
			distant: names.filter(other => !sameDataCentre.includes(other)),
			rank: sameDataCentre.indexOf(name),
		};
		const send = (to: string, body: PeerBody) => {
			bytes += bodySize(body);
			setTimeout(() => {
				for (const one of handlers.get(to) ?? []) {
					dispatch(one, {name, incarnation: 1n}, body);
				}
			}, linkDelayMs);
		};

		const follower = createConfigurationFollower({
			loader: createConfigurationStore({platform: store}),
			send,
			peers: () => view,
			reach: () => ({heard: size.daemons, listed: size.daemons}),
			random: () => uniformFloat64(generator),
		});
		let warm: Uint8Array | undefined = index === 0 && running.size === 0 ? new Uint8Array(64 * 1024) : undefined;
		const recovery = createRecovery({
			objects: store.objects,
			send,
			peers: () => view,
			parts: [createConfigurationPart(follower), {
				name: 'routing',
				exportContent: () => warm,
				importContent(content) {
					warm = content;
				},
			}],
			canServe: follower.mayServe,
			holdsDuty: () => index === 0,
			snapshotMs: settleMs / 2,
		});
		handlers.set(name, [follower.handlers, recovery.handlers]);
		const one: RunningDaemon = {follower, recovery};
		running.set(index, one);
		follower.start();
		recovery.start();
		void awaitReady(one);
		return one;
	}

	return {
		store,
		start,
		stop(index) {
			running.get(index)?.follower.stop();
			running.get(index)?.recovery.stop();
			handlers.delete(names[index]);
		},
		bytes: () => bytes,
	};
}

async function awaitReady(one: RunningDaemon): Promise<void> {
	try {
		const report = await one.recovery.recover();
		one.timeToServeMs = report.timeToServeMs;
	} catch {
		// Stopped before it was ready: reported as not ready.
	}
}

function createStore(): Store {
	const rows = new Map<string, TableRow>();
	const blobs = new Map<string, Uint8Array>();
	const call = async <Result>(kind: 'tableReads' | 'objectReads' | 'writes', run: () => Result): Promise<Result> => {
		if (kind !== 'writes') {
			store[kind]++;
		}

		await new Promise<void>(resolve => {
			setTimeout(resolve, store.delayMs);
		});
		if (store.down) {
			throw new PlatformUnavailableError('The store is down.', false);
		}

		return run();
	};

	const store: Store = {
		tableReads: 0,
		objectReads: 0,
		delayMs: usualDelayMs,
		down: false,
		table: {
			get: async key => call('tableReads', () => rows.get(key)),
			list: async ({prefix, after = ''}) => call('tableReads', () => [...rows.values()].filter(row => row.key.startsWith(prefix) && row.key > after)),
			transact: async writes => call('writes', () => {
				for (const {key, value} of writes) {
					rows.set(key, {key, value: value ?? '', version: 1});
				}

				return {committed: true, versions: {}};
			}),
		},
		objects: {
			put: async (name, content) => call('writes', () => {
				blobs.set(name, Buffer.from(content));
				return true;
			}),
			get: async name => call('objectReads', () => blobs.get(name)),
			list: async prefix => call('objectReads', () => [...blobs.keys()].filter(name => name.startsWith(prefix))),
			remove: async name => call('writes', () => {
				blobs.delete(name);
			}),
		},
	};
	return store;
}

const sampleDocument = parseDocument({
	layout: 1,
	dataCentres: [{name: 'dc-0', region: 'region-0'}],
	workspaces: Array.from({length: 200}, (_, index) => ({
		name: `workspace-${index}`, tokensPerSecond: 1000, burstTokens: 20_000, services: [],
	})),
	services: [],
	endpoints: [],
});
