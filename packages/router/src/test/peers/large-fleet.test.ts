import {type Buffer} from 'node:buffer';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createSilentLog, type Log} from '../../observability.js';
import {
	createPeerExchange, decodeReport, encodeReport, type OpenDatagramTransport, type OwnReport, type PeerExchange,
} from '../../peers.js';
import {emptyContents} from './empty-report.js';

const peerCount = 66;
const everyMs = 200;
const maxJitterMs = 50;
const lossRatio = 1 / 50;

const peerNames = Array.from({length: peerCount}, (_item, index) => `vm-${index + 1}`);
const addressOf = (name: string): string => `${name}:1`;

const emptyReport = (): OwnReport => emptyContents;

type Deliver = (content: Buffer) => void;

describe('createPeerExchange with 66 peers', () => {
	let clock: FakeTimers.Clock;
	let receivers: Map<string, Deliver>;
	let random: () => number;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		receivers = new Map();
		const generator = xoroshiro128plus(23);
		random = () => (generator.next() >>> 0) / (2 ** 32); // eslint-disable-line no-bitwise
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** A network with jitter and loss; datagrams to addresses without a receiver are dropped. */
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

	type ExchangeOptions = {openTransport: OpenDatagramTransport; peers?: readonly string[]; compose?: () => OwnReport; log?: Log; sharedClockMs?: () => number};

	const open = (name: string, {
		openTransport, peers = ['observer', ...peerNames], compose = emptyReport, log = createSilentLog(), sharedClockMs,
	}: ExchangeOptions): PeerExchange => {
		const exchange = createPeerExchange({
			name,
			incarnation: 1,
			dataCentre: 'a',
			bind: {host: name, port: 1},
			everyMs,
			minSilenceMs: 1000,
			...(sharedClockMs !== undefined && {sharedClockMs}),
			compose,
			onReport: () => undefined,
			openTransport,
			log,
		});
		for (const peer of peers) {
			exchange.learn(peer, addressOf(peer));
		}

		return exchange;
	};

	/** Starts an observer, and the peers at random offsets within a round; only the observer receives. */
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

	it('counts no live peer as silent while some reports are late or lost', async () => {
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

		assert.deepEqual(lines, peerNames.map(() => 'Peer sends reports.'));
	}).timeout(120_000);

	it('sends its first rounds to other peers than the other daemons do', async () => {
		// Daemons learn of peers in the same order. Guards against most of them reporting to the same few at a time.
		const reached = new Set<string>();
		for (const name of peerNames.slice(0, 12)) {
			const exchange = open(name, {
				async openTransport() {
					return {
						async send(_content, address) {
							reached.add(address);
						},
						close: async () => undefined,
					};
				},
			});
			await exchange.start();
		}

		await clock.tickAsync(everyMs * 2.5);
		assert.isAtLeast(reached.size, peerCount * 0.9);
	});

	it('sends no scheduled round right after an early one', async () => {
		let datagrams = 0;
		const exchange = open('vm-0', {
			peers: ['vm-1'],
			openTransport: async () => ({
				async send() {
					datagrams++;
				},
				async close() {
					// Nothing is open.
				},
			}),
		});
		await exchange.start();
		for (let round = 0; round < 10; round++) {
			await clock.tickAsync(everyMs * 0.75);
			exchange.sendRoundEarly();
		}

		await clock.tickAsync(0);
		assert.equal(datagrams, 10);
		await clock.tickAsync(everyMs);
		assert.equal(datagrams, 11);
		await exchange.leave();
	});

	it('knows the size of the fleet before the first report of a peer', () => {
		const exchange = open('vm-0', {openTransport: openLossy, peers: peerNames});
		assert.deepEqual([exchange.fleetSize(), exchange.peersBeyondRound()], [peerCount + 1, peerCount - 16]);
	});

	it('counts a peer as silent only after several refresh intervals, which grow with the fleet', () => {
		const limitsWith = (count: number): number[] => {
			const exchange = open('vm-0', {openTransport: openLossy, peers: Array.from({length: count}, (_item, index) => `vm-${index + 1}`)});
			return [exchange.refreshMs(), exchange.silenceMs()];
		};

		assert.deepEqual([0, 16, 17, 66, 650].map(count => limitsWith(count)), [
			[200, 1000], [200, 1000], [600, 1800], [2500, 7500], [20_500, 61_500],
		]);
	});

	it('logs a peer once when it becomes silent and once when it is back, and many silent peers in one line', async () => {
		const lines: unknown[] = [];
		const log: Log = {
			...createSilentLog(),
			info(sentence, context) {
				lines.push([sentence, context?.peer ?? context?.count]);
			},
		};
		const observer = open('observer', {openTransport: openLossy, log});
		await observer.start();
		const deliver = (names: readonly string[], number: number): void => {
			for (const daemon of names) {
				receivers.get(addressOf('observer'))!(encodeReport({
					...emptyReport(), daemon, incarnation: 1, number, isLeaving: false, address: addressOf(daemon), dataCentre: 'a', relays: [], streams: [], collectorWeight: 0,
				}));
			}
		};

		deliver(['vm-1'], 1);
		await clock.tickAsync(9000);
		deliver(['vm-1'], 2);
		deliver(['vm-1'], 3);
		assert.deepEqual(lines.splice(0), [['Peer sends reports.', 'vm-1'], ['Peer is silent.', 'vm-1'], ['Peer sends reports.', 'vm-1']]);
		deliver(peerNames, 4);
		lines.splice(0);
		await clock.tickAsync(9000);
		assert.deepEqual(lines, [['Many peers are silent.', 66]]);
	});

	/** Starts an exchange whose datagrams are recorded by address. */
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

	it('sends each update to each peer once', async () => {
		// An update sent to the peers of one round alone would never reach the rest of the fleet.
		const kept: string[] = [];
		const placed: OwnReport['placed'] = [];
		const {exchange, sent} = await startRecorded(() => ({...emptyReport(), kept: kept.splice(0), placed: placed.splice(0)}));
		const keys = Array.from({length: 40}, (_item, index) => `:1 part-${index}`);
		for (const [index, key] of keys.entries()) {
			kept.push(key);
			placed.push([key, ':1', 10, []]);
			await clock.tickAsync(30 + (index * 7));
			if (index % 5 === 0) {
				exchange.sendRoundEarly();
			}

			if (index % 9 === 0) {
				void exchange.sendNow();
			}
		}

		await clock.tickAsync(4000);
		for (const [address, contents] of sent) {
			const reports = contents.map(content => decodeReport(content));
			assert.deepEqual(reports.flatMap(report => report.kept), keys, address);
			assert.deepEqual(reports.flatMap(report => report.placed.map(([engine]) => engine)), keys, address);
		}
	});

	it('sends an urgent report to every peer at once', async () => {
		// The next lease holder must know of an order even if its sender dies right after it.
		const {exchange, sent} = await startRecorded(emptyReport);
		void exchange.sendNow();
		await clock.tickAsync(0);
		assert.deepEqual([...sent.values()].map(contents => contents.length), peerNames.map(() => 1));
	});

	it('sends to some peers ahead of their turn, at most every 40 ms', async () => {
		const {exchange, sent} = await startRecorded(emptyReport);
		for (let at = 0; at < 100; at += 10) {
			exchange.sendSoonTo(['vm-1', 'vm-2', 'nobody']);
			await clock.tickAsync(10);
		}

		assert.deepEqual([...sent.values()].map(contents => contents.length).slice(0, 4), [3, 3, 0, 0]);
		exchange.sendSoonTo('all');
		await clock.tickAsync(40);
		assert.deepEqual([...sent.values()].map(contents => contents.length).slice(0, 4), [4, 4, 1, 1]);
	});

	it('sends a peer that joins no updates from before', async () => {
		const kept = [':1 early'];
		const {exchange, sent} = await startRecorded(() => ({...emptyReport(), kept: kept.splice(0)}));
		await clock.tickAsync(4000);
		sent.set('vm-67:1', []);
		exchange.learn('vm-67', 'vm-67:1');
		kept.push(':1 late');
		await clock.tickAsync(4000);
		assert.deepEqual(sent.get('vm-67:1')!.flatMap(content => decodeReport(content).kept), [':1 late']);
	});

	it('keeps the latest updates where there are more than a report holds', async () => {
		const keys = Array.from({length: 30}, (_item, index) => `:1 part-${index}`);
		const kept = [...keys];
		const {sent} = await startRecorded(() => ({...emptyReport(), kept: kept.splice(0, 20)}));
		await clock.tickAsync(4000);
		// The last peers of a cycle get their first report after both batches.
		assert.deepEqual(sent.get('vm-66:1')!.flatMap(content => decodeReport(content).kept), keys.slice(-24));
	});

	it('sends to 16 peers per round, and reaches each within a refresh interval', async () => {
		const {exchange, sent} = await startRecorded(emptyReport);
		const counts = (): number[] => [...sent.values()].map(contents => contents.length);
		const rounds = 50;
		await clock.tickAsync(rounds * exchange.refreshMs() / exchange.roundsPerRefresh());
		assert.equal(counts().reduce((sum, count) => sum + count, 0), rounds * 16);
		assert.isAtLeast(Math.min(...counts()), Math.floor(rounds / exchange.roundsPerRefresh()));
	});

	it('sends no more datagrams per second the larger the fleet is', async () => {
		// Sending and receiving 80 reports per second took most of an idle daemon's processor time.
		const perSecond = (count: number): number => {
			const exchange = open('vm-0', {openTransport: openLossy, peers: Array.from({length: count}, (_item, index) => `vm-${index + 1}`)});
			return Math.round(Math.min(count, 16) * exchange.roundsPerRefresh() / exchange.refreshMs() * 1000);
		};

		assert.deepEqual([16, 32, 66, 100, 195, 650].map(count => perSecond(count)), [80, 53, 32, 32, 32, 32]);
	});

	it('sends its rounds in step with the other daemons by the shared clock, whenever it was started', async () => {
		// Guards against a wake-up of the process for each datagram, which costs a daemon at rest half of its processor time.
		const sentAt: number[] = [];
		const now = (): number => clock.now;
		const startAfter = async (name: string, delayMs: number): Promise<void> => {
			await clock.tickAsync(delayMs);
			const startedAt = now();
			const exchange = open(name, {
				sharedClockMs: () => now() + 0.4,
				async openTransport() {
					return {
						async send() {
							if (now() > startedAt) {
								sentAt.push(now());
							}
						},
						close: async () => undefined,
					};
				},
			});
			await exchange.start();
		};

		for (const [index, name] of peerNames.slice(0, 8).entries()) {
			await startAfter(name, 13 * index);
		}

		await clock.tickAsync(5000);
		assert.sameMembers([...new Set(sentAt.map(at => at % 500))], [0]);
	});

	it('shares one report between urgent calls of one turn of the event loop', async () => {
		const {exchange, sent} = await startRecorded(emptyReport);
		void exchange.sendNow();
		void exchange.sendNow();
		await clock.tickAsync(0);
		assert.deepEqual([...sent.values()].map(contents => contents.length), peerNames.map(() => 1));
	});

	it('sends nothing after the report of its stop', async () => {
		// A later report would make peers count the load of a process that is gone.
		const {exchange, sent} = await startRecorded(emptyReport);
		void exchange.sendNow();
		const left = exchange.leave();
		void exchange.sendNow();
		exchange.sendRoundEarly();
		await left;
		await clock.tickAsync(4000);
		for (const contents of sent.values()) {
			assert.deepEqual(contents.map(content => decodeReport(content).isLeaving), [true]);
		}
	});
});
