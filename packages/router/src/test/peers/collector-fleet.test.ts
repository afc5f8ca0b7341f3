import {type Buffer} from 'node:buffer';
import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type OwnReport, type PeerExchange, type PeerReport} from '../../peers.js';
import {createSimulatedNetwork, nameOf} from './simulated-network.js';

const dataCentres = 4;

/** What a fleet did in a time. */
type Measured = {
	/** Datagrams that a daemon received per second, on average and at most. */
	received: number;
	mostReceived: number;
	/** Datagrams that the busiest daemon sent per second. */
	mostSent: number;
	/** Bytes per second of all daemons, and those between data centres. */
	bytes: number;
	bytesBetween: number;
	/** Largest datagram. */
	mostBytes: number;
	/** Mean age of a peer's report in milliseconds, at any daemon and time. */
	ageMs: number;
	/** Fraction of pairs of daemons of which one counts the other as silent. */
	silentRatio: number;
};

type FleetOptions = {
	size: number;
	usesBundles?: boolean;
	lossRatio?: number;
	passes?: (from: number, to: number) => boolean;
	/** Daemons of an older version, which don't understand bundles. */
	isOld?: (index: number) => boolean;
	contentsOf?: (index: number) => Partial<OwnReport>;
	onReport?: (index: number, report: PeerReport) => void;
	/** Called with each datagram that is sent. */
	onContent?: (to: number, content: Buffer) => void;
};

describe('reports through collectors', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Starts a fleet whose daemons report a few loads that always change. */
	const startFleet = ({
		size, usesBundles = true, lossRatio = 0, passes, isOld = () => false, contentsOf = () => ({}), onReport, onContent,
	}: FleetOptions) => {
		const generator = xoroshiro128plus(7);
		const random = () => (generator.next() >>> 0) / (2 ** 32); // eslint-disable-line no-bitwise
		const draw = (most: number): number => Math.round(random() * most);
		const dataCentreOf = (index: number): string => `dc-${index % dataCentres}`;
		let sums = {bytes: 0, bytesBetween: 0, mostBytes: 0};
		let received = new Map<number, number>();
		let sent = new Map<number, number>();
		const open = createSimulatedNetwork({
			size, random, lossRatio, dataCentreOf,
			sharedClockMs: () => performance.now() + 0.4,
			collectorWeightOf: index => usesBundles && !isOld(index) ? 0.324 + ((index * 7 % 5) * 0.2565) : 0,
			...(passes && {passes}),
			onDatagram(from, to, content) {
				const bytes = content.length;
				onContent?.(to, content);
				sums.bytes += bytes;
				sums.bytesBetween += dataCentreOf(from) === dataCentreOf(to) ? 0 : bytes;
				sums.mostBytes = Math.max(sums.mostBytes, bytes);
				sent.set(from, (sent.get(from) ?? 0) + 1);
				received.set(to, (received.get(to) ?? 0) + 1);
			},
		});
		const startDaemon = (index: number): PeerExchange => open({
			index,
			contents: () => ({
				heard: {operator: 812, endpoints: 91_000 + Math.round(performance.now() / 100), document: 12},
				usage: Array.from({length: 3}, (_item, use) => [`workspace-${(index + use) % 16}`, 100_000 + draw(90_000), draw(9000), draw(50_000)]),
				loads: Array.from({length: 4}, (_item, load) => [`i-${((index * 7) + load) % 42}a93f`, 1 + draw(3), draw(5000), draw(20_000), draw(900)]),
				...contentsOf(index),
			}),
			onReport(report) {
				onReport?.(index, report);
			},
		});
		const exchanges = Array.from({length: size}, (_item, index) => startDaemon(index));

		/** Runs the fleet for a time, and measures it. */
		const measure = async (lengthMs: number): Promise<Measured> => {
			sums = {bytes: 0, bytesBetween: 0, mostBytes: 0};
			received = new Map();
			sent = new Map();
			let ages = 0;
			let ageCount = 0;
			let live = 0;
			const stepMs = 50;
			const samples = Math.floor(lengthMs / stepMs);
			for (let sample = 0; sample < samples; sample++) {
				await clock.tickAsync(stepMs);
				for (const exchange of exchanges.slice(0, 20)) {
					for (const {heardAt} of exchange.live()) {
						ages += performance.now() - heardAt;
						ageCount++;
						live++;
					}
				}
			}

			const perSecond = (count: number): number => Math.round(count * 1000 / (samples * stepMs) * 10) / 10;
			const all = (counts: Map<number, number>): number[] => Array.from({length: size}, (_item, index) => counts.get(index) ?? 0);
			return {
				received: perSecond(all(received).reduce((sum, count) => sum + count, 0) / size),
				mostReceived: perSecond(Math.max(...all(received))),
				mostSent: perSecond(Math.max(...all(sent))),
				bytes: Math.round(perSecond(sums.bytes)),
				bytesBetween: Math.round(perSecond(sums.bytesBetween)),
				mostBytes: sums.mostBytes,
				ageMs: Math.round(ages / ageCount),
				silentRatio: 1 - (live / (samples * Math.min(20, size) * (size - 1))),
			};
		};

		/** The daemons that send most datagrams, which are the collectors. */
		const findCollectors = (): number[] => [...sent].toSorted((a, b) => b[1] - a[1]).slice(0, dataCentres).map(([daemon]) => daemon);

		return {exchanges, measure, findCollectors};
	};

	/** Pairs of daemons, of which the first counts the second as silent or doesn't know it. */
	const silentPairs = (exchanges: readonly PeerExchange[], isCounted: (from: number, to: number) => boolean = () => true): string[] => {
		const pairs: string[] = [];
		for (const [to, exchange] of exchanges.entries()) {
			const live = new Set(exchange.live().map(({report}) => report.daemon));
			for (const from of exchanges.keys()) {
				if (from !== to && isCounted(from, to) && !live.has(nameOf(from))) {
					pairs.push(`${nameOf(to)} misses ${nameOf(from)}`);
				}
			}
		}

		return pairs;
	};

	it('receives less than a sixth of the datagrams of rounds, a sixth of their bytes between data centres, and loads less than 500 ms old', async () => {
		// Guards against a wake-up for each peer's report, and against paying for each report at each daemon of another data centre.
		const byRounds = startFleet({size: 71, usesBundles: false});
		await clock.tickAsync(4000);
		const before = await byRounds.measure(5000);
		const byBundles = startFleet({size: 71});
		await clock.tickAsync(4000);
		const after = await byBundles.measure(5000);
		assert.isBelow(after.received, before.received / 6.5);
		assert.isBelow(after.bytesBetween, before.bytesBetween / 6);
		assert.isBelow(after.ageMs, 500);
		assert.isAbove(before.ageMs, 1000);
		assert.isBelow(after.mostBytes, 32 * 1024);
		assert.deepEqual([before.silentRatio, after.silentRatio], [0, 0]);
		assert.deepEqual(byBundles.exchanges.map(exchange => exchange.refreshMs()), byBundles.exchanges.map(() => 1000));
	});

	it('bounds the datagrams and bytes of a collector in a fleet of 300, by several collectors for each data centre', async () => {
		// One collector would send 75 members a bundle each, of 27 KB. By rounds, reports are 4.7 s old, and 1,130 KB/s pass between data centres.
		const {measure} = startFleet({size: 300});
		await clock.tickAsync(10_000);
		const {received, mostSent, bytesBetween, mostBytes, ageMs, silentRatio} = await measure(3000);
		assert.equal(silentRatio, 0);
		assert.isBelow(received, 3);
		assert.isBelow(mostSent, 75);
		assert.isBelow(bytesBetween, 200_000);
		assert.isBelow(mostBytes, 32 * 1024);
		assert.isBelow(ageMs, 700);
	}).timeout(300_000);

	it('counts no live daemon as silent while a collector is lost, and the lost one soon', async () => {
		// Guards against a data centre that loses all its peers together with its collector.
		const lost = new Set<number>();
		const {exchanges, measure, findCollectors} = startFleet({size: 71, passes: (from, to) => !lost.has(from) && !lost.has(to)});
		await clock.tickAsync(4000);
		await measure(2000);
		const [collector] = findCollectors();
		lost.add(collector);
		for (let at = 0; at < 6000; at += 100) {
			await clock.tickAsync(100);
			assert.deepEqual(silentPairs(exchanges, (from, to) => from !== collector && to !== collector), [], `after ${at} ms`);
		}

		const others = exchanges.filter((_exchange, index) => index !== collector);
		assert.isTrue(others.every(exchange => exchange.live().length === 69));
		const {ageMs} = await measure(2000);
		assert.isBelow(ageMs, 500);
		assert.notInclude(findCollectors(), collector);

		// It was suspended, and goes on with what it knew.
		lost.clear();
		await clock.tickAsync(3000);
		for (let at = 0; at < 6000; at += 100) {
			await clock.tickAsync(100);
			assert.deepEqual(silentPairs(exchanges), [], `${at} ms after its return`);
		}
	});

	it('counts the daemons beyond a partition as silent, and none after it', async () => {
		// Guards against bundles that keep daemons alive which nobody hears, and against collectors that don't find each other again.
		let isCut = false;
		const isBeyond = (from: number, to: number): boolean => (from % dataCentres === 0) !== (to % dataCentres === 0);
		const {exchanges} = startFleet({size: 71, passes: (from, to) => !isCut || !isBeyond(from, to)});
		await clock.tickAsync(4000);
		isCut = true;
		for (let at = 0; at < 6000; at += 100) {
			await clock.tickAsync(100);
			assert.deepEqual(silentPairs(exchanges, (from, to) => !isBeyond(from, to)), [], `after ${at} ms`);
		}

		assert.isTrue(exchanges.every((exchange, index) => exchange.live().length === (index % dataCentres === 0 ? 17 : 52)));
		isCut = false;
		await clock.tickAsync(4000);
		for (let at = 0; at < 4000; at += 100) {
			await clock.tickAsync(100);
			assert.deepEqual(silentPairs(exchanges), [], `${at} ms after its end`);
		}
	});

	it('counts no daemon as silent while two collectors don\'t reach each other', async () => {
		// Guards against two data centres that lose each other together with the path between two daemons.
		let isCut = false;
		const collectorOf = new Map<number, number>();
		const {exchanges, measure, findCollectors} = startFleet({
			size: 71, passes: (from, to) => !isCut || collectorOf.get(0) !== Math.min(from, to) || collectorOf.get(1) !== Math.max(from, to),
		});
		await clock.tickAsync(4000);
		await measure(2000);
		for (const [place, collector] of findCollectors().slice(0, 2).toSorted((a, b) => a - b).entries()) {
			collectorOf.set(place, collector);
		}

		isCut = true;
		for (let at = 0; at < 8000; at += 200) {
			await clock.tickAsync(200);
			const [one, other] = [collectorOf.get(0)!, collectorOf.get(1)!];
			assert.deepEqual(silentPairs(exchanges, (from, to) => Math.min(from, to) !== one || Math.max(from, to) !== other), [], `after ${at} ms`);
		}

		// A report is 700 ms old before the next one arrives, if every bundle does.
		for (let at = 0; at < 4000; at += 200) {
			await clock.tickAsync(200);
			const ages = exchanges.flatMap(exchange => exchange.live().map(({heardAt}) => performance.now() - heardAt));
			assert.isBelow(Math.max(...ages), 800, `after ${at} ms`);
		}
	});

	it('counts no live daemon as silent while one datagram in 20 is lost', async () => {
		const {exchanges, measure} = startFleet({size: 71, lossRatio: 0.05});
		await clock.tickAsync(6000);
		for (let at = 0; at < 20_000; at += 100) {
			await clock.tickAsync(100);
			assert.deepEqual(silentPairs(exchanges), [], `after ${at} ms`);
		}

		const {ageMs, received} = await measure(4000);
		assert.isBelow(ageMs, 500);
		assert.isBelow(received, 10);
	});

	it('brings each incremental update to each daemon once, although single datagrams are lost', async () => {
		// A lost update would let engines compute a prompt again; one counted twice would fill the model of an engine's memory.
		const kept = new Map<number, string[]>();
		const received = new Map<string, number>();
		let datagrams = 0;
		startFleet({
			size: 71,
			// A step loses at most one datagram of three intervals.
			passes(from) {
				datagrams += from === 5 ? 1 : 0;
				return from !== 5 || datagrams % 3 !== 0;
			},
			contentsOf: index => ({kept: kept.get(index)?.splice(0) ?? []}),
			onReport(index, report) {
				for (const key of report.kept) {
					received.set(`${key} at ${index}`, (received.get(`${key} at ${index}`) ?? 0) + 1);
				}
			},
		});
		await clock.tickAsync(6000);
		const keys = Array.from({length: 10}, (_item, update) => `:1 part-${update}`);
		for (const key of keys) {
			kept.set(5, [...kept.get(5) ?? [], key]);
			await clock.tickAsync(700);
		}

		await clock.tickAsync(2000);
		const expected = keys.flatMap(key => Array.from({length: 71}, (_item, index) => `${key} at ${index}`)).filter(item => !item.endsWith(' at 5'));
		assert.sameMembers([...received.keys()], expected);
		assert.deepEqual([...received.values()].filter(count => count !== 1), []);
	});

	it('sends reports directly to daemons of an older version, and no bundles', async () => {
		// During a rolling update, an older daemon drops bundles as invalid and logs each.
		const isOld = (index: number): boolean => index % 3 === 0;
		const bundlesToOld: number[] = [];
		const {exchanges, measure} = startFleet({
			size: 71, isOld,
			onContent(to, content) {
				if (isOld(to) && content[0] !== 0x01 && content[0] !== 0x5B) {
					bundlesToOld.push(to);
				}
			},
		});
		await clock.tickAsync(4000);
		for (let at = 0; at < 8000; at += 200) {
			await clock.tickAsync(200);
			assert.deepEqual(silentPairs(exchanges), [], `after ${at} ms`);
		}

		assert.deepEqual(bundlesToOld, []);
		// Reports of older daemons take a whole cycle of rounds, and thresholds must allow for it.
		assert.isTrue(exchanges.every(exchange => exchange.refreshMs() === 2500 && exchange.silenceMs() === 7500));
		const {received} = await measure(3000);
		assert.isBelow(received, 24);
	});

	it('sends as before in a fleet whose rounds reach all peers', async () => {
		const contents: number[] = [];
		const {exchanges} = startFleet({
			size: 17, onContent(_to, content) {
				contents.push(content[0]);
			},
		});
		await clock.tickAsync(3000);
		assert.notInclude(contents, 0x02);
		assert.deepEqual([exchanges[0].refreshMs(), exchanges[0].silenceMs()], [200, 1000]);
	});
}).timeout(180_000);
