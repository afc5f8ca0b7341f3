import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {assert} from 'chai';
import {
	ConfigurationHeadSchema, createPeerNetwork, type PeerBody, type PeerNetwork, type PeerNetworkOptions,
} from '../../links.js';

const secret = 'a secret of the fleet';

function headOf(version: number): PeerBody {
	return {case: 'configurationHead', value: create(ConfigurationHeadSchema, {version: BigInt(version)})};
}

type Node = {network: PeerNetwork; heard: number[]; from: string[]; port: number};

const open: PeerNetwork[] = [];
const servers: Server[] = [];
const sockets = new Set<Socket>();

async function startNode(name: string, options: Partial<PeerNetworkOptions> = {}): Promise<Node> {
	const network = createPeerNetwork({
		name, incarnation: 1n, secret, tickMs: 5, pingMs: 40, silenceMs: 400, staleMs: 60_000, ...options,
	});
	open.push(network);
	const node: Node = {
		network, heard: [], from: [], port: await network.listen({host: '127.0.0.1', port: 0}),
	};
	network.handle({
		configurationHead(origin, head) {
			node.heard.push(Number(head.version));
			node.from.push(`${origin.name}/${origin.incarnation}`);
		},
	});
	return node;
}

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await pause(5);
	}
}

/** Starts a proxy that can drop all data of a connection while keeping it open. */
async function startBlackholeProxy(port: number) {
	const proxy = {droppedConnections: new Set<Socket>(), accepted: 0, port: 0};
	const server = createServer(near => {
		proxy.accepted++;
		const far = connect(port, '127.0.0.1');
		for (const [from, to] of [[near, far], [far, near]]) {
			sockets.add(from);
			from.on('error', () => undefined);
			from.on('data', chunk => {
				if (!proxy.droppedConnections.has(near)) {
					to.write(chunk);
				}
			});
			from.on('close', () => {
				if (!proxy.droppedConnections.has(near)) {
					to.destroy();
				}
			});
		}
	});
	servers.push(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	proxy.port = (server.address() as AddressInfo).port;
	return proxy;
}

describe('createPeerNetwork', () => {
	afterEach(async () => {
		await Promise.all(open.splice(0).map(async network => network.close()));
		for (const server of servers.splice(0)) {
			server.close();
		}

		for (const socket of sockets) {
			socket.destroy();
		}
	});

	it('carries messages in both directions in order over one stream', async () => {
		const [one, two] = [await startNode('vm-1'), await startNode('vm-2')];
		one.network.setPeers([{name: 'vm-2', address: `127.0.0.1:${two.port}`}]);
		for (let version = 1; version <= 20; version++) {
			one.network.send('vm-2', headOf(version));
		}

		await until(() => two.heard.length === 20);
		// The second daemon knows no address and answers on the stream that it accepted.
		two.network.send('vm-1', headOf(99));
		await until(() => one.heard.length === 1);
		assert.deepEqual(two.heard, Array.from({length: 20}, (_, index) => index + 1));
		assert.equal(one.network.stats()[0].dials, 1);
		assert.equal(one.network.stats()[0].gaps + two.network.stats()[0].gaps, 0);
	});

	it('refuses a daemon with another secret', async () => {
		const [stranger, two] = [await startNode('vm-1', {secret: 'another secret'}), await startNode('vm-2')];
		stranger.network.setPeers([{name: 'vm-2', address: `127.0.0.1:${two.port}`}]);
		stranger.network.send('vm-2', headOf(1));
		await until(() => stranger.network.stats()[0].dials > 1);
		assert.isEmpty(two.heard);
		assert.isEmpty(two.network.stats());
	});

	it('destroys a silent connection and opens a new one', async () => {
		// A middlebox between two daemons loses track of their connection: no reset is
		// sent and writes are lost, while new connections work. Only the peer's silence
		// reveals it; without a limit on silence, messages would stop for good.
		const two = await startNode('vm-2');
		const proxy = await startBlackholeProxy(two.port);
		const one = await startNode('vm-1');
		one.network.setPeers([{name: 'vm-2', address: `127.0.0.1:${proxy.port}`}]);
		one.network.send('vm-2', headOf(1));
		await until(() => two.heard.includes(1));
		for (const socket of sockets) {
			proxy.droppedConnections.add(socket);
		}

		for (let version = 2; !two.heard.some(heard => heard > 1); version++) {
			one.network.send('vm-2', headOf(version));
			await pause(20);
		}

		assert.isAbove(proxy.accepted, 1);
		await until(() => two.network.stats()[0].connected);
	});

	it('drops messages from an older process of a peer', async () => {
		// A daemon restarts while its old process is paused; the old process resumes
		// and sends. Its messages must not be taken for those of the new process.
		const two = await startNode('vm-2');
		const address = `127.0.0.1:${two.port}`;
		const [older, newer] = [await startNode('vm-1', {incarnation: 1n}), await startNode('vm-1', {incarnation: 2n})];
		for (const {network} of [older, newer]) {
			network.setPeers([{name: 'vm-2', address}]);
		}

		newer.network.send('vm-2', headOf(2));
		await until(() => two.heard.includes(2));
		older.network.send('vm-2', headOf(1));
		await until(() => older.network.stats()[0].connected && older.network.stats()[0].waiting === 0);
		newer.network.send('vm-2', headOf(3));
		await until(() => two.heard.includes(3));
		assert.notInclude(two.from, 'vm-1/1');
	});

	it('bounds the queue to a peer that does not answer', async () => {
		const one = await startNode('vm-1', {maxMessages: 10});
		one.network.setPeers([{name: 'vm-2', address: '127.0.0.1:1'}]);
		for (let version = 1; version <= 100; version++) {
			one.network.send('vm-2', headOf(version));
		}

		assert.equal(one.network.stats()[0].waiting, 10);
		assert.equal(one.network.stats()[0].dropped, 90);
	});

	it('drops stale messages to a peer that was unreachable', async () => {
		// A head that was queued for an unreachable peer says "newest 0 ms ago".
		// Delivered late, it would let the peer serve with an outdated configuration.
		const [one, two] = [await startNode('vm-1', {staleMs: 30}), await startNode('vm-2')];
		one.network.send('vm-2', headOf(1));
		await pause(40);
		one.network.setPeers([{name: 'vm-2', address: `127.0.0.1:${two.port}`}]);
		while (two.heard.length === 0) {
			one.network.send('vm-2', headOf(2));
			await pause(20);
		}

		assert.notInclude(two.heard, 1);
	});

	it('closes an idle link, and opens it again for a new message', async () => {
		const [one, two] = [await startNode('vm-1', {idleMs: 60}), await startNode('vm-2', {idleMs: 60})];
		one.network.setPeers([{name: 'vm-2', address: `127.0.0.1:${two.port}`}]);
		one.network.send('vm-2', headOf(1));
		await until(() => two.heard.includes(1));
		await until(() => !one.network.stats()[0].connected);
		one.network.send('vm-2', headOf(2));
		await until(() => two.heard.includes(2));
		assert.equal(one.network.stats()[0].dials, 2);
	});
});
