import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type LiveEndpoint} from 'hickorywalk/fleet.js';
import {createSilentLog} from 'hickorywalk/observability.js';
import {decodeReport, type PeerExchange, type PeerReport} from 'hickorywalk/peers.js';
import {createEntryParts} from '../lib/entry-parts.js';
import {wireLeases} from '../lib/wiring/lease-wiring.js';
import {type EntryParts} from '../lib/wiring/parts.js';
import {wirePeers} from '../lib/wiring/peer-wiring.js';
import {host, settingsWith} from './daemon-settings.js';

async function freePort(): Promise<number> {
	const socket = createSocket('udp4');
	socket.bind(0, host);
	await once(socket, 'listening');
	const {port} = socket.address();
	await new Promise<void>(resolve => {
		socket.close(resolve);
	});
	return port;
}

const endpoint = (id: string, startedAt: number): LiveEndpoint => ({
	id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'a', slots: 8, isLeaving: false, startedAt, reportNumber: 1, software: 'v1', weights: new Map([['m', 1]]),
});

describe('a report from a peer', () => {
	let parts: EntryParts;

	afterEach(async () => {
		parts.operatorFeed.close();
		parts.endpointFeed.close();
		await parts.peers.leave();
	});

	it('marks only the processes that the peer found ended as ended, and adds stored prompt parts', async () => {
		// One daemon learns from an endpoint's refusal that another process has replaced it.
		// The others must learn it without each sending a request there. A later process
		// under the same id is serving, and a report about the former one must not end it.
		const port = await freePort();
		parts = createEntryParts(settingsWith(port)).cradle;
		parts.view.acceptEndpoint(endpoint('e1', 100));
		parts.view.acceptEndpoint(endpoint('e2', 200));
		await parts.peers.start();
		const socket = createSocket('udp4');
		socket.send(Buffer.from(JSON.stringify({
			daemon: 'vm-2', incarnation: 1, number: 1, isLeaving: false, address: `${host}:1`, heard: {}, usage: [], loads: [['e2', 3, 4000, 9000]], named: [], duty: null, engines: [],
			ended: [['e1', 100], ['e2', 150], ['e3', 1]], kept: [':1 top'],
		})), port, host);
		while (parts.peers.live().length === 0) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		socket.close();
		assert.isTrue(parts.presence.hasEnded(endpoint('e1', 100)));
		assert.isFalse(parts.presence.hasEnded(endpoint('e1', 101)));
		assert.isFalse(parts.presence.hasEnded(endpoint('e2', 200)));
		assert.isTrue(parts.storedParts.isKnown(':1 top'));
		assert.deepEqual(parts.presence.recentlyEnded(1000), [['e1', 100]]);
		const {running, pendingTokens} = parts.loadTracker.load(endpoint('e2', 200));
		assert.deepEqual([running, pendingTokens], [3, 4000]);
	});
});

describe('a report to 66 peers', () => {
	const peerNames = Array.from({length: 66}, (_item, index) => `vm-${index + 2}`);
	let clock: FakeTimers.Clock;
	let parts: EntryParts;
	let peers: PeerExchange;
	/** Ids of ended endpoints that each peer received. */
	let receivedIds: Map<string, Set<string>>;

	beforeEach(async () => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		parts = createEntryParts(settingsWith(1)).cradle;
		receivedIds = new Map(peerNames.map(name => [`${name}:1`, new Set()]));
		let datagrams = 0;
		peers = wirePeers(parts, async () => ({
			async send(content, address) {
				datagrams++;
				if (datagrams % 50 === 0) {
					return;
				}

				for (const [id] of decodeReport(content).ended) {
					receivedIds.get(address)!.add(id);
				}
			},
			async close() {
				// There is nothing to close.
			},
		}));
		for (const name of peerNames) {
			peers.learn(name, `${name}:1`);
		}

		await peers.start();
	});

	afterEach(async () => {
		await peers.leave();
		clock.uninstall();
	});

	it('informs every peer of an ended endpoint, although one datagram in 50 is lost', async () => {
		parts.presence.replaced(endpoint('e1', 100));
		await clock.tickAsync(10_000);
		assert.deepEqual([...receivedIds.values()].map(ids => [...ids]), peerNames.map(() => ['e1']));
	});
});

describe('state from reports of 66 peers', () => {
	let clock: FakeTimers.Clock;
	let parts: EntryParts;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
		parts = createEntryParts(settingsWith(1)).cradle;
		for (let index = 0; index < 66; index++) {
			parts.peers.learn(`vm-${index + 2}`, `vm-${index + 2}:1`);
		}
	});

	afterEach(() => {
		parts.operatorFeed.close();
		parts.endpointFeed.close();
		clock.uninstall();
	});

	const reportOf = (daemon: string, more: Partial<PeerReport>): PeerReport => ({
		daemon, incarnation: 1, number: 1, isLeaving: false, address: `${daemon}:1`, heard: {}, usage: [], loads: [], named: [], duty: null, engines: [],
		ended: [], crashes: [], completed: [], refused: [], limits: [], leaving: [], brittle: [],
		kept: [], placed: [], dataCentre: 'a', relays: [], streams: [], paces: [], collectorWeight: 0, dutyDelayMs: 0, ...more,
	});

	it('holds a reported load for three refresh intervals, and a planned change for the duration of a lease', () => {
		const ttlMs = 3 * parts.peers.refreshMs();
		parts.loadTracker.applyPeerReport(reportOf('vm-2', {loads: [['e1', 3, 4000, 9000, 0]]}));
		parts.versions.planned('e1', 2, 5000);
		const dueInMs = () => parts.versions.of(endpoint('e1', 100), 'm').dueInMs;
		clock.tick(parts.timings.leaseMs);
		assert.equal(dueInMs(), 5000 - parts.timings.leaseMs);
		clock.tick(1);
		assert.equal(dueInMs(), Number.POSITIVE_INFINITY);
		clock.tick(ttlMs - 1 - parts.timings.leaseMs);
		assert.equal(parts.loadTracker.load(endpoint('e1', 100)).running, 3);
		clock.tick(1);
		assert.equal(parts.loadTracker.load(endpoint('e1', 100)).running, 0);
	});

	it('chooses among a sample of engines if most peers learn of its prompts late', () => {
		parts.view.acceptDocument({
			version: 1,
			routes: [],
			services: new Map([['engines', {
				name: 'engines', maxConnections: 500, engine: {
					slots: 16, memoryTokens: 100_000, tokenBytes: 0, linkBytesPerMs: 1, models: ['m'],
				},
			}]]),
			cacheStores: [],
			workspaces: [],
			limits: {
				headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
			},
		});
		for (let index = 0; index < 98; index++) {
			parts.view.acceptEndpoint(endpoint(`e${index}`, 100));
		}

		const used = new Set<string>();
		for (let count = 0; count < 200; count++) {
			used.add(parts.choice.choose({
				service: 'engines', excluded: new Set(), prompt: {
					model: 'm', parts: [{id: 'own', tokens: 800}], promptTokens: 800, outputTokens: 10, isolationKey: '',
				},
			})!.endpoint.id);
		}

		assert.isAbove(used.size, 20);
	});

	it('reads the lease as soon as the time that its holder last announced has run out', async () => {
		// Otherwise a holder that crashed would be trusted until it counts as away.
		let reads = 0;
		const heardAt = performance.now();
		const holder = {report: reportOf('vm-2', {duty: [1, 1200]}), heardAt};
		const leases = wireLeases({
			...parts,
			log: createSilentLog(),
			peers: {...parts.peers, live: () => [holder], known: () => new Map([['vm-2', holder]])},
			ownTable: {
				...parts.ownTable,
				async list() {
					reads++;
					return [{
						key: 'leases/weights', value: JSON.stringify({
							holder: 'vm-9', incarnation: '1', fencing: 1, attempt: 1,
						}), version: 1,
					}];
				},
			},
		});
		await leases.tick();
		clock.tick(1199);
		await leases.tick();
		assert.equal(reads, 0);
		clock.tick(1);
		await leases.tick();
		assert.equal(reads, 1);
	});
});
