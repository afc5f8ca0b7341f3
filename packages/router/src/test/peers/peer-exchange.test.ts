import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import process from 'node:process';
import {assert} from 'chai';
import {createSilentLog} from '../../observability.js';
import {
	createPeerExchange, openUdpTransport, type PeerExchange, type PeerReport,
} from '../../peers.js';
import {emptyContents} from './empty-report.js';

const host = '127.0.0.1';
/** Longer than any test, which sends its reports explicitly. */
const neverMs = 1_000_000;

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

describe('openUdpTransport', () => {
	it('goes on to receive after the handler of a datagram threw an error', async () => {
		// Guards against a process that any datagram ends.
		const port = await freePort();
		let count = 0;
		let wake: () => void = () => undefined;
		const transport = await openUdpTransport({
			bind: {host, port},
			onDatagram() {
				count++;
				if (count === 1) {
					throw new Error('Thrown by a test.');
				}

				wake();
			},
			log: createSilentLog(),
		});
		const second = new Promise<void>(resolve => {
			wake = resolve;
		});
		await transport.send(Buffer.from('a'), `${host}:${port}`);
		await transport.send(Buffer.from('b'), `${host}:${port}`);
		await second;
		assert.equal(count, 2);
		await transport.close();
	});
});

describe('createPeerExchange over sockets', () => {
	const open: PeerExchange[] = [];

	/** Starts a daemon whose reports carry `store()` as the newest version seen. */
	const start = async (name: string, incarnation: number, store: () => number, everyMs = neverMs) => {
		const port = await freePort();
		const heard: PeerReport[] = [];
		let wake: () => void = () => undefined;
		const daemon = {
			onReport: (): void => undefined,
		};
		const exchange = createPeerExchange({
			name,
			incarnation,
			dataCentre: 'a',
			bind: {host, port},
			everyMs,
			minSilenceMs: neverMs,
			compose: () => ({...emptyContents, heard: {operator: store()}}),
			onReport(report) {
				heard.push(report);
				wake();
				daemon.onReport();
			},
			log: createSilentLog(),
		});
		await exchange.start();
		open.push(exchange);
		return Object.assign(daemon, {
			exchange,
			port,
			heard,
			/** Resolves once `count` reports were received. */
			until: async (count: number) => new Promise<void>(resolve => {
				wake = () => {
					if (heard.length >= count) {
						resolve();
					}
				};

				wake();
			}),
		});
	};

	afterEach(async () => {
		await Promise.all(open.splice(0).map(async exchange => exchange.leave()));
	});

	it('sends reports to peers from the directory, and learns the senders of received reports', async () => {
		const one = await start('vm-1', 1, () => 7);
		const two = await start('vm-2', 1, () => 9);
		one.exchange.learn('vm-2', `${host}:${two.port}`);
		void one.exchange.sendNow();
		await two.until(1);
		assert.deepEqual([two.heard[0].daemon, two.heard[0].heard.operator], ['vm-1', 7]);
		void two.exchange.sendNow();
		await one.until(1);
		assert.equal(one.heard[0].heard.operator, 9);
		assert.deepEqual(one.exchange.live().map(({report}) => report.daemon), ['vm-2']);
	});

	it('drops invalid datagrams, and reports that are not newer than the last', async () => {
		// Datagrams may arrive late, twice or from any sender. An old report must not
		// replace a newer one, nor that of a former process the report of its successor.
		const one = await start('vm-1', 1, () => 0);
		const socket = createSocket('udp4');
		const send = async (content: string) => new Promise<void>(resolve => {
			socket.send(Buffer.from(content), one.port, host, () => {
				resolve();
			});
		});
		const report = (incarnation: number, number: number) => JSON.stringify({
			daemon: 'vm-9', incarnation, number, isLeaving: false, address: `${host}:1`, heard: {operator: (incarnation * 100) + number}, usage: [], loads: [], named: [], duty: null, engines: [],
		});
		await send('no report');
		await send(report(2, 5));
		await send(report(2, 4));
		await send(report(1, 9));
		await send(report(2, 5));
		await send(report(2, 6));
		await one.until(2);
		assert.deepEqual(one.heard.map(({heard}) => heard.operator), [205, 206]);
		socket.close();
	});

	for (const address of ['', 'vm-9', `${host}:0`, `${host}:99999`]) {
		it(`reports to other peers beside one whose address is "${address}"`, async () => {
			// Guards against a process that ends since sending to an address that a peer states throws at once.
			const one = await start('vm-1', 1, () => 0);
			const two = await start('vm-2', 1, () => 7);
			two.exchange.learn('vm-9', address);
			two.exchange.learn('vm-1', `${host}:${one.port}`);
			await two.exchange.sendNow();
			await one.until(1);
			assert.equal(one.heard[0].heard.operator, 7);
		});
	}

	it('goes on after the handler of a report threw an error', async () => {
		// Guards against a daemon that ends since the report of one peer trips its code.
		const one = await start('vm-1', 1, () => 0);
		const two = await start('vm-2', 1, () => 7);
		let throws = true;
		one.onReport = () => {
			if (throws) {
				throws = false;
				throw new Error('Thrown by a test.');
			}
		};

		two.exchange.learn('vm-1', `${host}:${one.port}`);
		await two.exchange.sendNow();
		await two.exchange.sendNow();
		await one.until(2);
		assert.deepEqual(one.exchange.live().map(({report}) => report.daemon), ['vm-2']);
	});

	it('sends its next report after one could not be composed', async () => {
		// Guards against a daemon that ends, or that its peers take for gone, since one report failed.
		const one = await start('vm-1', 1, () => 0);
		let throws = true;
		const two = await start('vm-2', 1, () => {
			if (throws) {
				throws = false;
				throw new Error('Thrown by a test.');
			}

			return 7;
		}, 20);
		const rejections: unknown[] = [];
		const onRejection = (reason: unknown): void => {
			rejections.push(reason);
		};

		process.on('unhandledRejection', onRejection);
		two.exchange.learn('vm-1', `${host}:${one.port}`);
		await one.until(1);
		process.off('unhandledRejection', onRejection);
		assert.isFalse(throws);
		assert.isEmpty(rejections);
		assert.equal(one.heard[0].heard.operator, 7);
	});

	it('forgets a peer that announces its stop', async () => {
		const one = await start('vm-1', 1, () => 0);
		const two = await start('vm-2', 1, () => 0);
		two.exchange.learn('vm-1', `${host}:${one.port}`);
		void two.exchange.sendNow();
		await one.until(1);
		await two.exchange.leave();
		await one.until(2);
		assert.isTrue(one.heard[1].isLeaving);
		assert.isEmpty(one.exchange.live());
		assert.equal(one.exchange.known().size, 0);
	});
});
