import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createSilentLog} from '../../observability.js';
import {createQuarantine, type Quarantine} from '../../quarantine.js';
import {createSimulatedNetwork, nameOf} from '../peers/simulated-network.js';

const boundMs = 3000;
const crashEveryMs = 500;
/** Time after the third crash at which one daemon starts and the frozen one resumes. */
const startAfterMs = 100;
const sizes = [6, 70, 195, 650];

/** Index of the daemon that freezes, and of the one that receives from half of its peers only. */
const frozenIndex = 3;
const halfReachableIndex = 4;

describe('createQuarantine in fleets of all sizes', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	const openFleet = (size: number) => {
		const generator = xoroshiro128plus(size);
		const state = {isFrozen: false};
		const openExchange = createSimulatedNetwork({
			size,
			random: () => (generator.next() >>> 0) / (2 ** 32), // eslint-disable-line no-bitwise
			passes: (from, to) => !(to === halfReachableIndex && from % 2 === 0) && !(state.isFrozen && (to === frozenIndex || from === frozenIndex)),
		});

		const open = (index: number): Quarantine => {
			const quarantine = createQuarantine({
				name: nameOf(index),
				store: {save: () => undefined, claim: async () => false, remove: () => undefined},
				onUpdate() {
					exchange.sendSoonTo('all');
				},
				log: createSilentLog(),
			});
			const exchange = openExchange({
				index,
				contents: quarantine.report,
				onReport(report) {
					quarantine.applyPeerReport(report.daemon, report);
				},
			});
			return quarantine;
		};

		return {open, state};
	};

	/** Returns the daemons that don't refuse the cause within the bound, and those that refuse another request. */
	const simulateCrashes = async (size: number): Promise<{missing: number[]; wrong: number[]}> => {
		const fleet = openFleet(size);
		const daemons: Quarantine[] = [];
		for (let index = 0; index < size - 1; index++) {
			daemons.push(fleet.open(index));
		}

		await clock.tickAsync(1000);
		fleet.state.isFrozen = true;
		for (let crash = 0; crash < 3; crash++) {
			daemons[crash].recordCrash({
				endpoint: `e${crash}`, startedAt: 1, ageMs: 0, suspects: ['bad', `beside-${crash}`].map(digest => ({digest, position: '', parts: []})),
			});
			await clock.tickAsync(crash < 2 ? crashEveryMs : startAfterMs);
		}

		daemons.push(fleet.open(size - 1));
		fleet.state.isFrozen = false;
		await clock.tickAsync(boundMs - startAfterMs);
		const refusing = (digest: string, isRefused: boolean): number[] =>
			daemons.flatMap((daemon, index) => (daemon.standingOf(digest) === 'refused') === isRefused ? [index] : []);
		return {missing: refusing('bad', false), wrong: refusing('beside-1', true)};
	};

	for (const size of sizes) {
		it(`refuses a cause on all of ${size} daemons within 3 s, including one that starts, one that was frozen and one that hears half of its peers`, async () => {
			// Guards against retries through daemons that reports of the crashes don't reach.
			assert.deepEqual(await simulateCrashes(size), {missing: [], wrong: []});
		}).timeout(120_000);
	}
});
