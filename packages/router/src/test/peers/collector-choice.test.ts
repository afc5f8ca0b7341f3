import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {type CollectorCandidate, collectorFor, rankCollectors} from '../../lib/peers/collector-choice.js';
import {createCollectorWatch} from '../../lib/peers/collector-watch.js';
import {createSilentLog} from '../../observability.js';

const candidatesOf = (count: number): CollectorCandidate[] => Array.from({length: count}, (_item, index) => ({name: `vm-${index}`, weight: [0.3, 0.6, 1.3][index % 3]}));

const collectorsOf = (candidates: readonly CollectorCandidate[]): Set<string> =>
	new Set(candidates.map(({name}) => collectorFor(name, 'a', candidates)!));

describe('choice of collectors', () => {
	it('gives all members of a data centre the same collector, with a large share of the CPU', () => {
		const candidates = candidatesOf(18);
		const [collector, ...others] = collectorsOf(candidates.toReversed());
		assert.deepEqual(others, []);
		assert.equal(candidates.find(({name}) => name === collector)!.weight, 1.3);
		assert.equal(rankCollectors('a', candidates)[0], collector);
	});

	it('spreads many members over several collectors', () => {
		// One daemon would send 160 members a bundle of 30 KB each.
		const candidates = candidatesOf(160);
		const members = candidates.map(({name}) => collectorFor(name, 'a', candidates)!);
		const counts = new Map<string, number>();
		for (const collector of members) {
			counts.set(collector, (counts.get(collector) ?? 0) + 1);
		}

		assert.equal(counts.size, 4);
		assert.isBelow(Math.max(...counts.values()), 60);
	});

	it('changes the collector of few members when a daemon comes or goes', () => {
		const candidates = candidatesOf(18);
		const collector = collectorFor('vm-0', 'a', candidates)!;
		const others = candidates.filter(({name}) => name !== collector);
		for (const gone of others) {
			assert.equal(collectorFor('vm-x', 'a', candidates.filter(({name}) => name !== gone.name)), collector);
		}

		assert.equal(collectorsOf(others).size, 1);
	});
});

describe('watch over a collector', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('replaces a collector after three missing bundles, and tries it again ever later', () => {
		// A collector that is cut off from this daemon alone is chosen by all others, and stays live.
		const watch = createCollectorWatch({name: 'vm-1', log: createSilentLog()});
		const select = (isSuspected: (daemon: string) => boolean): string => ['vm-7', 'vm-8'].find(daemon => !isSuspected(daemon))!;
		const chosen: string[] = [];
		for (let at = 0; at < 50_000; at += 500) {
			const collector = watch.next(select, 500);
			if (chosen.at(-1)?.split(' ')[0] !== collector) {
				chosen.push(`${collector} ${at}`);
			}

			clock.tick(170);
			watch.heard('vm-8');
			clock.tick(330);
		}

		assert.deepEqual(chosen, ['vm-7 0', 'vm-8 1500', 'vm-7 11500', 'vm-8 13000', 'vm-7 33000', 'vm-8 34500']);
	});
});
