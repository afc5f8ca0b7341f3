import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Workspace} from '../../fleet.js';
import {type PeerReport} from '../../peers.js';
import {createFleetQuota} from '../../quotas.js';
import {
	allowed, type Asked, mostInWindow, oracleAdmits, type Played, report, windowMs, workspace,
} from './played-quota.js';

const stepMs = 10;
const reportEveryMs = 200;
/** Units that a fleet starts with after a kill: half of those by which it may be over. */
const restartUnits = 55_000;

describe('createFleetQuota', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** A load of one workspace over several daemons, drawn by a seed; `cut` daemons neither hear nor are heard from the middle on. */
	const makeLoad = (seed: number, daemons: number, perSecond: number, spread: number): Asked[] => {
		const random = xoroshiro128plus(seed);
		const draw = () => (random.next() >>> 0) / (2 ** 32); // eslint-disable-line no-bitwise
		const weights = Array.from({length: daemons}, () => draw() ** spread);
		const total = weights.reduce((sum, weight) => sum + weight, 0);
		const load: Asked[] = [];
		for (let at = 0; at < 30_000; at += -Math.log(1 - draw()) / perSecond * 1000) {
			let left = draw() * total;
			const daemon = weights.findIndex(weight => {
				left -= weight;
				return left < 0;
			});
			load.push({at, daemon: Math.max(0, daemon), units: Math.round(1000 + (16_000 * draw()))});
		}

		return load;
	};

	/** What befalls the daemons: which are cut off when, and when all are killed and start again. */
	type Troubles = {isCut?: (daemon: number, at: number) => boolean; killedAt?: number};

	const play = (load: readonly Asked[], limits: Workspace, daemons: number, {isCut = () => false, killedAt}: Troubles = {}): Played => {
		const due = new Set<number>();
		const toldAt = Array.from({length: daemons}, () => 0);
		const open = (index: number, startsFull: boolean) => createFleetQuota({
			startsFull, onUnreported: () => due.add(index), startUnits: restartUnits, daemons: () => daemons, silenceMs: () => 1000, goneMs: () => windowMs, newsMs: () => reportEveryMs,
		});
		const quotas = Array.from({length: daemons}, (_item, index) => open(index, true));
		const played: Played = {admitted: [], refused: []};
		let next = 0;
		for (let at = 0; at < 30_000; at += stepMs) {
			clock.tick(stepMs);
			if (at === killedAt) {
				for (const index of quotas.keys()) {
					quotas[index] = open(index, false);
				}
			}

			for (; next < load.length && load[next].at <= at; next++) {
				const asked = load[next];
				(quotas[asked.daemon].admit(limits, asked.units).granted ? played.admitted : played.refused).push(asked);
			}

			for (const [from, quota] of quotas.entries()) {
				// Daemons don't report at the same moment.
				const isDue = due.has(from) && at - toldAt[from] >= 40;
				if (!isDue && (at / stepMs) % (reportEveryMs / stepMs) !== (from * 3) % (reportEveryMs / stepMs)) {
					continue;
				}

				due.delete(from);
				toldAt[from] = at;

				const told = report(`d${from}`, quota, at);
				for (const [to, other] of quotas.entries()) {
					if (to !== from && !isCut(from, at) && !isCut(to, at)) {
						other.heard(told);
					}
				}
			}
		}

		return played;
	};

	for (const seed of [1, 2, 3, 4, 5, 6]) {
		for (const [rate, perSecond] of [[29_000, 20], [129_000, 60], [60_000, 100]]) {
			it(`keeps nine daemons within ${rate} tokens a second when ${perSecond} requests a second come, seed ${seed}`, () => {
				const limits = workspace(rate);
				const {admitted} = play(makeLoad(seed, 9, perSecond, 2), limits, 9);
				assert.isAtMost(mostInWindow(admitted), allowed(limits, 110_000));
			});
		}
	}

	for (const seed of [11, 12, 13]) {
		it(`keeps within the quota when three of nine daemons are cut off, seed ${seed}`, () => {
			// Three daemons neither hear nor are heard from the fifth second on, and
			// callers of one workspace press on all nine. What the cut ones admit counts.
			const limits = workspace(60_000);
			const {admitted} = play(makeLoad(seed, 9, 80, 1), limits, 9, {isCut: (daemon, at) => daemon < 3 && at > 5000});
			assert.isAtMost(mostInWindow(admitted), allowed(limits, 110_000));
		});

		it(`keeps within the quota when all daemons are killed in the middle of a window, seed ${seed}`, () => {
			// Nobody remembers what was spent before the kill, and callers press on.
			const limits = workspace(60_000);
			const {admitted} = play(makeLoad(seed, 9, 80, 1), limits, 9, {killedAt: 12_000});
			assert.isAtMost(mostInWindow(admitted), allowed(limits, 110_000));
		});

		it(`refuses next to nothing that one bucket would admit, seed ${seed}`, () => {
			// A workspace uses 55% of its rate, most of it through two of nine daemons.
			const limits = workspace(60_000);
			const load = makeLoad(seed, 9, 3.7, 4);
			const {admitted} = play(load, limits, 9);
			assert.isAtLeast(admitted.length, oracleAdmits(load, limits).length * 0.99);
		});

		it(`admits most of the rate when a workspace sends four times that, seed ${seed}`, () => {
			const limits = workspace(60_000);
			const load = makeLoad(seed, 9, 28, 2);
			const {admitted} = play(load, limits, 9);
			const units = admitted.reduce((sum, asked) => sum + asked.units, 0);
			assert.isAtLeast(units, 0.9 * ((30 * limits.rate) + limits.burst));
		});
	}

	it('lets small requests through a pressed workspace while anything is left', () => {
		// Orders of 200 units were refused over a quota whose bucket held 6,000.
		const quota = createFleetQuota({
			startsFull: true, onUnreported: () => undefined, startUnits: 0, daemons: () => 9, silenceMs: () => 1000, goneMs: () => windowMs, newsMs: () => reportEveryMs,
		});
		const limits = workspace(29_000);
		quota.admit(limits, 5000);
		quota.heard({...report('vm-2', quota, 1), usage: [['school', 20_000, 90_000, 4000]]});
		assert.isTrue(quota.admit(limits, 200).granted);
		assert.isFalse(quota.admit(limits, 9000).granted);
		assert.isTrue(quota.admit(limits, 200).granted);
	});

	it('counts of a peer that was away for long no more than a window can hold', () => {
		// A peer that was cut off for 20 s came back with all that it had ever admitted.
		const quota = createFleetQuota({
			startsFull: true, onUnreported: () => undefined, startUnits: 0, daemons: () => 2, silenceMs: () => 1000, goneMs: () => windowMs,
		});
		const limits = workspace(1000, 100_000);
		const level = (): number => quota.report()[0][3];
		const usage = (admitted: number): PeerReport => ({...report('vm-2', quota, 1), usage: [['school', admitted, 100, 50_000]]});
		quota.admit(limits, 1000);
		quota.heard(usage(1_000_000));
		clock.tick(18_000);
		quota.heard(usage(1_001_800));
		assert.isAtLeast(level(), 100_000 - (100 * windowMs / 1000));
		clock.tick(1000);
		quota.heard(usage(1_003_800));
		assert.isAtLeast(level(), 97_000);
	});

	it('assumes spending of a silent peer between two limits, which follow the size of the fleet', () => {
		// In a large fleet a live peer is heard less often; what it is assumed to spend
		// meanwhile would be refused to callers.
		let silenceMs = 5000;
		const quota = createFleetQuota({
			startsFull: true, onUnreported: () => undefined, startUnits: 0, daemons: () => 2, silenceMs: () => silenceMs, goneMs: () => silenceMs + 7000,
		});
		const limits = workspace(1000, 100_000);
		const level = (): number => quota.report()[0][3];
		quota.admit(limits, 90_000);
		const usage = (admitted: number): PeerReport => ({...report('vm-2', quota, 1), usage: [['school', admitted, 1000, 10_000]]});
		quota.heard(usage(0));
		assert.equal(level(), 10_000);
		clock.tick(5000);
		assert.equal(level(), 15_000);
		// The peer may spend at the whole rate, so nothing is left of the refill.
		clock.tick(1000);
		assert.equal(level(), 15_000);
		quota.heard(usage(0));
		assert.equal(level(), 16_000);
		silenceMs = 1000;
		clock.tick(2000);
		assert.equal(level(), 16_000);
		clock.tick(7000);
		assert.equal(level(), 23_000);
	});
});
