import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Workspace} from '../../fleet.js';
import {type PeerReport} from '../../peers.js';
import {createFleetQuota, type FleetQuota} from '../../quotas.js';
import {
	maxAllowedUnits, type SimulatedRequest, maxUnitsInWindow, admittedByOracle, type SimulationResult, report, windowMs, workspace,
} from './simulated-quota.js';

const stepMs = 20;
const reportEveryMs = 200;
const peersPerRound = 16;
const lengthMs = 24_000;
const extraUnits = 110_000;
/** Fraction of the units that a single bucket would admit. */
const minAdmittedShare = 0.9;

type Load = {
	daemons: number;
	/** Daemons that the workspace's callers reach. */
	users: number;
	/** Units requested per second, as multiples of the rate, before and after `changesAt`. */
	demandBefore: number;
	demandAfter: number;
	changesAt: number;
	/** Whether regular reports travel in bundles rather than by rounds. */
	usesBundles?: boolean;
};

/** Interval between bundles, and the time from a report to its arrival in one. */
const bundleEveryMs = 500;
const bundleDelayMs = 180;

const unitsOf = (requests: readonly SimulatedRequest[]): number => requests.reduce((sum, {units}) => sum + units, 0);

describe('createFleetQuota in a large fleet', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	const makeLoad = (seed: number, {rate}: Workspace, {users, demandBefore, demandAfter, changesAt}: Load): SimulatedRequest[] => {
		const random = xoroshiro128plus(seed);
		const draw = () => (random.next() >>> 0) / (2 ** 32); // eslint-disable-line no-bitwise
		const weights = Array.from({length: users}, () => 0.2 + draw());
		const total = weights.reduce((sum, weight) => sum + weight, 0);
		const load: SimulatedRequest[] = [];
		for (let at = 0; at < lengthMs;) {
			const units = Math.round(1000 + (16_000 * draw()));
			let left = draw() * total;
			const daemon = weights.findIndex(weight => {
				left -= weight;
				return left < 0;
			});
			load.push({at, daemon: Math.max(0, daemon), units});
			const perMs = rate * (at < changesAt ? demandBefore : demandAfter) / 9000 / 1000;
			at += -Math.log(1 - draw()) / perMs;
		}

		return load;
	};

	/** Simulates a load over daemons that report to 16 peers per round, or to all in bundles, as the peer exchange does. */
	const simulate = (load: readonly SimulatedRequest[], limits: Workspace, {daemons, usesBundles = false}: Load): SimulationResult => {
		const rounds = Math.max(1, Math.ceil((daemons - 1) / peersPerRound));
		const everyMs = Math.ceil(reportEveryMs * Math.min(2.5, Math.sqrt(rounds)) / 100) * 100;
		const silenceMs = Math.max(1000, (usesBundles ? bundleEveryMs * 2 : rounds * everyMs) * 2);
		const due = new Set<number>();
		/** Peers to which each daemon reports before their turn. */
		const urgent = Array.from({length: daemons}, () => new Set<number>());
		const numberOf = (name: string): number => Number(name.slice(1));
		const open = (index: number): FleetQuota => createFleetQuota({
			startsFull: true, onUnreported: () => due.add(index), startUnits: extraUnits / 2, daemons: () => daemons, silenceMs: () => silenceMs, goneMs: () => silenceMs + windowMs - 1000,
			reportDelayMs: () => reportEveryMs,
			isBeyondRound: () => daemons - 1 > peersPerRound,
			onAnnouncement(users) {
				for (const user of users === 'all' ? quotas.keys() : users.map(name => numberOf(name))) {
					urgent[index].add(user);
				}
			},
		});
		const quotas = Array.from({length: daemons}, (_item, index) => open(index));
		const queues = quotas.map((_quota, from) => Array.from({length: daemons - 1}, (_item, index) => (from + index + 1) % daemons));
		const sentAt = quotas.map(() => 0);
		const played: SimulationResult = {admitted: [], refused: []};
		/** Reports in the next bundles, and the number of the latest that each daemon got from each other. */
		let bundled: Array<[from: number, sentReport: PeerReport]> = [];
		const numbers = quotas.map(() => new Map<number, number>());
		const deliver = (from: number, to: number, sentReport: PeerReport): void => {
			if (to !== from && sentReport.number > (numbers[to].get(from) ?? 0)) {
				numbers[to].set(from, sentReport.number);
				quotas[to].applyPeerReport(sentReport);
			}
		};

		let next = 0;
		for (let at = 0; at < lengthMs; at += stepMs) {
			clock.tick(stepMs);
			if (usesBundles && at % bundleEveryMs === 0) {
				bundled = quotas.map((quota, from) => [from, report(`d${from}`, quota, at + 1)]);
			} else if (at % bundleEveryMs === bundleDelayMs) {
				for (const [from, sentReport] of bundled) {
					for (const to of quotas.keys()) {
						deliver(from, to, sentReport);
					}
				}
			}

			for (; next < load.length && load[next].at <= at; next++) {
				const asked = load[next];
				(quotas[asked.daemon].admit(limits, asked.units).granted ? played.admitted : played.refused).push(asked);
			}

			for (const [from, quota] of quotas.entries()) {
				const isRound = !usesBundles && at - sentAt[from] >= (due.has(from) ? 40 : everyMs);
				if (!isRound && urgent[from].size === 0) {
					continue;
				}

				const sentReport = report(`d${from}`, quota, at + 2);
				const receivers = new Set(urgent[from]);
				urgent[from].clear();
				if (isRound) {
					due.delete(from);
					sentAt[from] = at;
					for (const to of queues[from].splice(0, peersPerRound)) {
						queues[from].push(to);
						receivers.add(to);
					}
				}

				for (const to of receivers) {
					deliver(from, to, sentReport);
				}
			}
		}

		return played;
	};

	it('announces first uses of many workspaces to all peers at most once per three seconds', () => {
		// Guards against a report to every peer for each retry that reaches a daemon new to its workspace.
		let announcements = 0;
		const quota = createFleetQuota({
			startsFull: true, onUnreported: () => undefined, startUnits: 0, daemons: () => 200, silenceMs: () => 5000, goneMs: () => 12_000,
			isBeyondRound: () => true,
			onAnnouncement(users) {
				announcements += users === 'all' ? 1 : 0;
			},
		});
		for (let index = 0; index < 300; index++) {
			quota.admit({...workspace(29_000), name: `school-${index}`}, 200);
			clock.tick(100);
		}

		assert.equal(announcements, 10);
	});

	const loads: Record<string, Load> = {
		'7 daemons': {
			daemons: 7, users: 7, demandBefore: 0.55, demandAfter: 4.2, changesAt: 6000,
		},
		'70 daemons': {
			daemons: 70, users: 30, demandBefore: 0.55, demandAfter: 4.2, changesAt: 6000,
		},
		'200 daemons': {
			daemons: 200, users: 60, demandBefore: 0.55, demandAfter: 4.2, changesAt: 6000,
		},
		'23 daemons at 1.3 times the rate': {
			daemons: 23, users: 18, demandBefore: 1.3, demandAfter: 1.3, changesAt: 0,
		},
		'23 daemons at twice the rate': {
			daemons: 23, users: 18, demandBefore: 2, demandAfter: 2, changesAt: 0,
		},
		'200 daemons at 4.2 times the rate from the start': {
			daemons: 200, users: 60, demandBefore: 4.2, demandAfter: 4.2, changesAt: 0,
		},
	};

	// Guards against daemons that admit too much because bundles bring no early rounds.
	for (const name of ['70 daemons', '23 daemons at 1.3 times the rate', '23 daemons at twice the rate']) {
		loads[`${name} with bundles`] = {...loads[name], usesBundles: true};
	}

	for (const [name, load] of Object.entries(loads)) {
		for (const rate of [29_000, 150_000]) {
			for (const seed of [1, 2, 3]) {
				it(`keeps ${name} within ${rate} units per second and admits at least 90% of what a single bucket would, seed ${seed}`, () => {
					const limits = workspace(rate);
					const asked = makeLoad(seed, limits, load);
					const {admitted} = simulate(asked, limits, load);
					assert.isAtMost(maxUnitsInWindow(admitted), maxAllowedUnits(limits, extraUnits));
					assert.isAtLeast(unitsOf(admitted), minAdmittedShare * unitsOf(admittedByOracle(asked, limits)));
				});
			}
		}
	}
});
