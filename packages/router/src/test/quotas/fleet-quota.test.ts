import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Workspace} from '../../fleet.js';
import {type PeerReport} from '../../peers.js';
import {createFleetQuota} from '../../quotas.js';
import {
	maxAllowedUnits, type SimulatedRequest, maxUnitsInWindow, admittedByOracle, type SimulationResult, report, windowMs, workspace,
} from './simulated-quota.js';

const stepMs = 10;
const reportEveryMs = 200;
/** Initial units after a restart of the fleet: half of the tolerated excess. */
const restartUnits = 55_000;

describe('createFleetQuota', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Creates a random load of one workspace over several daemons. */
	const makeLoad = (seed: number, daemons: number, perSecond: number, spread: number): SimulatedRequest[] => {
		const random = xoroshiro128plus(seed);
		const draw = () => (random.next() >>> 0) / (2 ** 32); // eslint-disable-line no-bitwise
		const weights = Array.from({length: daemons}, () => draw() ** spread);
		const total = weights.reduce((sum, weight) => sum + weight, 0);
		const load: SimulatedRequest[] = [];
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

	/** Which daemons are partitioned when, and when all are killed and restarted. */
	type Faults = {isCut?: (daemon: number, at: number) => boolean; killedAt?: number};

	const simulate = (load: readonly SimulatedRequest[], limits: Workspace, daemons: number, {isCut = () => false, killedAt}: Faults = {}): SimulationResult => {
		const due = new Set<number>();
		const reportedAt = Array.from({length: daemons}, () => 0);
		const open = (index: number, startsFull: boolean) => createFleetQuota({
			startsFull, onUnreported: () => due.add(index), startUnits: restartUnits, daemons: () => daemons, silenceMs: () => 1000, goneMs: () => windowMs, reportDelayMs: () => reportEveryMs,
		});
		const quotas = Array.from({length: daemons}, (_item, index) => open(index, true));
		const played: SimulationResult = {admitted: [], refused: []};
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
				// Daemons report at different moments.
				const isDue = due.has(from) && at - reportedAt[from] >= 40;
				if (!isDue && (at / stepMs) % (reportEveryMs / stepMs) !== (from * 3) % (reportEveryMs / stepMs)) {
					continue;
				}

				due.delete(from);
				reportedAt[from] = at;

				const sentReport = report(`d${from}`, quota, at);
				for (const [to, other] of quotas.entries()) {
					if (to !== from && !isCut(from, at) && !isCut(to, at)) {
						other.applyPeerReport(sentReport);
					}
				}
			}
		}

		return played;
	};

	for (const seed of [1, 2, 3, 4, 5, 6]) {
		for (const [rate, perSecond] of [[29_000, 20], [129_000, 60], [60_000, 100]]) {
			it(`keeps nine daemons within ${rate} tokens per second at ${perSecond} requests per second, seed ${seed}`, () => {
				const limits = workspace(rate);
				const {admitted} = simulate(makeLoad(seed, 9, perSecond, 2), limits, 9);
				assert.isAtMost(maxUnitsInWindow(admitted), maxAllowedUnits(limits, 110_000));
			});
		}
	}

	for (const seed of [11, 12, 13]) {
		it(`keeps within the quota when three of nine daemons are partitioned, seed ${seed}`, () => {
			// Three daemons neither send nor receive reports after the fifth second, while callers of
			// one workspace load all nine. What the partitioned daemons admit counts too.
			const limits = workspace(60_000);
			const {admitted} = simulate(makeLoad(seed, 9, 80, 1), limits, 9, {isCut: (daemon, at) => daemon < 3 && at > 5000});
			assert.isAtMost(maxUnitsInWindow(admitted), maxAllowedUnits(limits, 110_000));
		});

		it(`keeps within the quota when all daemons are killed in the middle of a window, seed ${seed}`, () => {
			// No daemon knows what was spent before, and the load continues.
			const limits = workspace(60_000);
			const {admitted} = simulate(makeLoad(seed, 9, 80, 1), limits, 9, {killedAt: 12_000});
			assert.isAtMost(maxUnitsInWindow(admitted), maxAllowedUnits(limits, 110_000));
		});

		it(`admits at least 99% of the requests that a single bucket would admit, seed ${seed}`, () => {
			// The workspace uses 55% of its rate, mostly through two of nine daemons.
			const limits = workspace(60_000);
			const load = makeLoad(seed, 9, 3.7, 4);
			const {admitted} = simulate(load, limits, 9);
			assert.isAtLeast(admitted.length, admittedByOracle(load, limits).length * 0.99);
		});

		it(`admits at least 90% of rate and burst when a workspace sends four times its rate, seed ${seed}`, () => {
			const limits = workspace(60_000);
			const load = makeLoad(seed, 9, 28, 2);
			const {admitted} = simulate(load, limits, 9);
			const units = admitted.reduce((sum, asked) => sum + asked.units, 0);
			assert.isAtLeast(units, 0.9 * ((30 * limits.rate) + limits.burst));
		});
	}

	it('admits small requests from a contended bucket while any units are left', () => {
		// Guards against refusing orders of 200 units although the bucket holds 6,000.
		const quota = createFleetQuota({
			startsFull: true, onUnreported: () => undefined, startUnits: 0, daemons: () => 9, silenceMs: () => 1000, goneMs: () => windowMs, reportDelayMs: () => reportEveryMs,
		});
		const limits = workspace(29_000);
		quota.admit(limits, 5000);
		quota.applyPeerReport({...report('vm-2', quota, 1), usage: [['school', 20_000, 90_000, 4000]]});
		assert.isTrue(quota.admit(limits, 200).granted);
		assert.isFalse(quota.admit(limits, 9000).granted);
		assert.isTrue(quota.admit(limits, 200).granted);
	});

	it('limits the units deducted for a peer\'s long silence to those of a window', () => {
		// Guards against deducting all units that a peer ever admitted when it reports again after 20 s of partition.
		const quota = createFleetQuota({
			startsFull: true, onUnreported: () => undefined, startUnits: 0, daemons: () => 2, silenceMs: () => 1000, goneMs: () => windowMs,
		});
		const limits = workspace(1000, 100_000);
		const level = (): number => quota.report()[0][3];
		const usage = (admitted: number): PeerReport => ({...report('vm-2', quota, 1), usage: [['school', admitted, 100, 50_000]]});
		quota.admit(limits, 1000);
		quota.applyPeerReport(usage(1_000_000));
		clock.tick(18_000);
		quota.applyPeerReport(usage(1_001_800));
		assert.isAtLeast(level(), 100_000 - (100 * windowMs / 1000));
		clock.tick(1000);
		quota.applyPeerReport(usage(1_003_800));
		assert.isAtLeast(level(), 97_000);
	});

	it('assumes use by a silent peer between two limits, which depend on the size of the fleet', () => {
		// Guards against refusals in large fleets, where live peers report less often and units
		// would be deducted for them in between.
		let silenceMs = 5000;
		const quota = createFleetQuota({
			startsFull: true, onUnreported: () => undefined, startUnits: 0, daemons: () => 2, silenceMs: () => silenceMs, goneMs: () => silenceMs + 7000,
		});
		const limits = workspace(1000, 100_000);
		const level = (): number => quota.report()[0][3];
		quota.admit(limits, 90_000);
		const usage = (admitted: number): PeerReport => ({...report('vm-2', quota, 1), usage: [['school', admitted, 1000, 10_000]]});
		quota.applyPeerReport(usage(0));
		assert.equal(level(), 10_000);
		clock.tick(5000);
		assert.equal(level(), 15_000);
		// The peer may use the whole rate, so nothing is left of the refill.
		clock.tick(1000);
		assert.equal(level(), 15_000);
		quota.applyPeerReport(usage(0));
		assert.equal(level(), 16_000);
		silenceMs = 1000;
		clock.tick(2000);
		assert.equal(level(), 16_000);
		clock.tick(7000);
		assert.equal(level(), 23_000);
	});
});
