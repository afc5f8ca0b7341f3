import {type Buffer} from 'node:buffer';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createSilentLog, type Log} from '../../observability.js';
import {
	createPeerExchange, decodeReport, type OpenDatagramTransport, type OwnReport, type PeerExchange,
} from '../../peers.js';

const peerCount = 66;
const everyMs = 200;
const maxJitterMs = 50;
const lossRatio = 1 / 50;

const peerNames = Array.from({length: peerCount}, (_item, index) => `vm-${index + 1}`);
const addressOf = (name: string): string => `${name}:1`;

const emptyReport = (): OwnReport => ({
	heard: {}, usage: [], loads: [], named: [], duty: null, engines: [], ended: [], kept: [], placed: [],
});

type Deliver = (content: Buffer) => void;

describe('createPeerExchange with 66 peers', () => {
	let clock: FakeTimers.Clock;
	let receivers: Map<string, Deliver>;
	let random: () => number;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'setInterval', 'clearInterval']});
		receivers = new Map();
		const generator = xoroshiro128plus(23);
		random = () => (generator.next() >>> 0) / (2 ** 32); // eslint-disable-line no-bitwise
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** A network with jitter and loss; datagrams to addresses without a receiver vanish. */
	const openLossy: OpenDatagramTransport = async ({bind, onDatagram}) => {
		receivers.set(`${bind.host}:${bind.port}`, onDatagram);
		return {
			async send(content, address) {
				const deliver = receivers.get(address);
				if (deliver !== undefined && random() >= lossRatio) {
					setTimeout(deliver, random() * maxJitterMs, content);
				}
			},
			async close() {
				receivers.delete(`${bind.host}:${bind.port}`);
			},
		};
	};

	type ExchangeOptions = {openTransport: OpenDatagramTransport; compose?: () => OwnReport; log?: Log};

	const open = (name: string, {openTransport, compose = emptyReport, log = createSilentLog()}: ExchangeOptions): PeerExchange => {
		const exchange = createPeerExchange({
			name,
			incarnation: 1,
			bind: {host: name, port: 1},
			everyMs,
			silenceMs: 1000,
			compose,
			onReport: () => undefined,
			openTransport,
			log,
		});
		for (const peer of ['observer', ...peerNames]) {
			exchange.learn(peer, addressOf(peer));
		}

		return exchange;
	};

	/** Starts the peers at random phases of their rounds, and an observer that alone receives. */
	const startFleet = async (log: Log): Promise<PeerExchange> => {
		const observer = open('observer', {openTransport: openLossy, log});
		await observer.start();
		const sendOnly: OpenDatagramTransport = async options => {
			const transport = await openLossy(options);
			receivers.delete(`${options.bind.host}:${options.bind.port}`);
			return transport;
		};

		for (const name of peerNames) {
			const peer = open(name, {openTransport: sendOnly});
			setTimeout(() => {
				void peer.start();
			}, random() * everyMs);
		}

		return observer;
	};

	it('counts no live peer as away while some reports are late or lost', async () => {
		const lines: string[] = [];
		const log: Log = {
			...createSilentLog(),
			info(sentence) {
				lines.push(sentence);
			},
		};
		const observer = await startFleet(log);
		await clock.tickAsync(4000);
		for (let at = 4000; at < 30_000; at += 50) {
			await clock.tickAsync(50);
			assert.equal(observer.live().length, peerCount, `after ${at} ms`);
		}

		assert.deepEqual(lines, peerNames.map(() => 'Peer is heard.'));
	}).timeout(120_000);

	/** An exchange whose datagrams are recorded by address. */
	const startRecorded = async (compose: () => OwnReport) => {
		const sent = new Map<string, Buffer[]>(peerNames.map(name => [addressOf(name), []]));
		const exchange = open('observer', {
			compose,
			openTransport: async () => ({
				async send(content, address) {
					sent.get(address)!.push(content);
				},
				async close() {
					// Nothing is open.
				},
			}),
		});
		await exchange.start();
		return {exchange, sent};
	};

	it('tells each item of news to each peer once', async () => {
		// An item told to the peers of one round alone never reaches the rest of the fleet.
		const kept: string[] = [];
		const placed: OwnReport['placed'] = [];
		const {exchange, sent} = await startRecorded(() => ({...emptyReport(), kept: kept.splice(0), placed: placed.splice(0)}));
		const keys = Array.from({length: 40}, (_item, index) => `:1 part-${index}`);
		for (const [index, key] of keys.entries()) {
			kept.push(key);
			placed.push([key, ':1', 10, []]);
			await clock.tickAsync(30 + (index * 7));
			if (index % 5 === 0) {
				exchange.sendSoon();
			}

			if (index % 9 === 0) {
				exchange.sendNow();
			}
		}

		await clock.tickAsync(2000);
		for (const [address, contents] of sent) {
			const reports = contents.map(content => decodeReport(content));
			assert.deepEqual(reports.flatMap(report => report.kept), keys, address);
			assert.deepEqual(reports.flatMap(report => report.placed.map(([engine]) => engine)), keys, address);
		}
	});

	it('sends an urgent report to every peer at once', async () => {
		// The next lease holder must know of an order even if its sender dies right after it.
		const {exchange, sent} = await startRecorded(emptyReport);
		exchange.sendNow();
		await clock.tickAsync(0);
		assert.deepEqual([...sent.values()].map(contents => contents.length), peerNames.map(() => 1));
	});
});
