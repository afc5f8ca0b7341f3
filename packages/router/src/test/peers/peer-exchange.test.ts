import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {assert} from 'chai';
import {createSilentLog} from '../../observability.js';
import {createPeerExchange, type PeerExchange, type PeerReport} from '../../peers.js';
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

describe('createPeerExchange over sockets', () => {
	const open: PeerExchange[] = [];

	/** Starts a daemon whose reports carry `store()` as the newest version seen. */
	const start = async (name: string, incarnation: number, store: () => number, apply: () => void = () => undefined) => {
		const port = await freePort();
		const heard: PeerReport[] = [];
		let wake: () => void = () => undefined;
		const exchange = createPeerExchange({
			name,
			incarnation,
			dataCentre: 'a',
			bind: {host, port},
			everyMs: neverMs,
			minSilenceMs: neverMs,
			compose: () => ({...emptyContents, heard: {operator: store()}}),
			onReport(report) {
				apply();
				heard.push(report);
				wake();
			},
			log: createSilentLog(),
		});
		await exchange.start();
		open.push(exchange);
		return {
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
		};
	};

	afterEach(async () => {
		await Promise.all(open.splice(0).map(async exchange => exchange.leave()));
	});

	it('goes on after a report that can\'t be applied', async () => {
		// Guards against daemons that end one after another because of one report.
		let isFirst = true;
		const faulty = await start('vm-1', 1, () => 0, () => {
			if (isFirst) {
				isFirst = false;
				throw new TypeError('odd');
			}
		});
		const sender = await start('vm-2', 1, () => 7);
		sender.exchange.learn('vm-1', `${host}:${faulty.port}`);
		await sender.exchange.sendNow();
		await sender.exchange.sendNow();
		await faulty.until(1);
		assert.deepEqual(faulty.heard.map(report => report.daemon), ['vm-2']);
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
