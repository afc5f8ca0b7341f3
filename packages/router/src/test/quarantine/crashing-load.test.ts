import FakeTimers from '@sinonjs/fake-timers';
import {assert} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createCrashEvidence} from '../../lib/quarantine/crash-evidence.js';

const endpointCount = 24;
const downMs = 5000;
const stepMs = 10;
const durationMs = 120_000;
const requestsPerStep = 2;
const crashEveryMs = 500;
/** Time from a broken connection to the next run of the same request. */
const retryMs = {inAttempt: 20, byCaller: 400};
/** A request is retried at most twice: once by the router, once by its caller. */
const maxRuns = 3;
const eventMs = 20;
const seeds = [1, 2, 3, 106, 113, 127];

type Run = {digest: string; runs: number; beginsAt: number; endsAt: number; at: number; event: number};

/** Simulates load on endpoints that one request after another crashes every half second, with an unrelated crash every four seconds. */
function simulateLoad(seed: number, clock: FakeTimers.Clock) {
	const generator = xoroshiro128plus(seed);
	const random = () => (generator.next() >>> 0) / (2 ** 32); // eslint-disable-line no-bitwise
	const evidence = createCrashEvidence();
	const running: Run[][] = Array.from({length: endpointCount}, () => []);
	const upAt = Array.from({length: endpointCount}, () => 0);
	let due: Array<{at: number; run: Run}> = [];
	const refused = new Set<string>();
	const crashesOfBad = new Map<string, number>();
	const concurrentCounts: number[] = [];
	let requests = 0;
	let bad = 0;
	let starts = 0;

	const place = (now: number, run: Run): void => {
		const up = upAt.flatMap((since, index) => since <= now ? [index] : []);
		running[up[Math.floor(random() * up.length)]].push({
			...run, at: now, beginsAt: now + 30 + (random() * 300), endsAt: now + 400 + (random() * 3000),
		});
	};

	const crash = (now: number, endpoint: number, cause: string | undefined): void => {
		starts++;
		const broken = running[endpoint];
		running[endpoint] = [];
		upAt[endpoint] = now + downMs;
		concurrentCounts.push(broken.length);
		const suspects = broken.map(run => {
			const event = run.event + Math.max(0, Math.floor((now - run.beginsAt) / eventMs));
			if (run.runs < maxRuns) {
				const isNewAttempt = run.runs === 2;
				due.push({at: now + (isNewAttempt ? retryMs.byCaller : retryMs.inAttempt), run: {...run, runs: run.runs + 1, event: isNewAttempt ? 0 : event}});
			}

			return {digest: run.digest, position: event === 0 ? '' : String(event), parts: []};
		});
		if (cause !== undefined) {
			crashesOfBad.set(cause, (crashesOfBad.get(cause) ?? 0) + 1);
			suspects.push({digest: cause, position: '', parts: []});
		}

		for (const {digest} of evidence.add('vm-1', {
			endpoint: `e${endpoint}`, startedAt: starts, ageMs: 0, suspects,
		}).causes) {
			refused.add(digest);
		}
	};

	const crashOne = (now: number, cause: string | undefined): void => {
		const up = upAt.flatMap((since, index) => since <= now ? [index] : []);
		crash(now, up[Math.floor(random() * up.length)], cause);
	};

	for (let now = 0; now < durationMs; now += stepMs) {
		clock.tick(stepMs);
		for (const runs of running) {
			for (const run of runs.filter(({endsAt}) => endsAt <= now)) {
				evidence.markCompleted(run.digest);
				runs.splice(runs.indexOf(run), 1);
			}
		}

		for (const {run} of due.filter(({at}) => at <= now)) {
			if (!refused.has(run.digest)) {
				place(now, run);
			}
		}

		due = due.filter(({at}) => at > now);
		for (let count = 0; count < requestsPerStep; count++) {
			requests++;
			place(now, {
				digest: `r${requests}`, runs: 1, beginsAt: 0, endsAt: 0, at: now, event: 0,
			});
		}

		if (now % crashEveryMs === 0 && now > 0) {
			bad += refused.has(`bad${bad}`) ? 1 : 0;
			crashOne(now, `bad${bad}`);
		}

		if (now % 4000 === 2250) {
			crashOne(now, undefined);
		}
	}

	const othersRefused = [...refused].filter(digest => digest.startsWith('r')).length;
	const meanConcurrent = concurrentCounts.reduce((sum, count) => sum + count, 0) / concurrentCounts.length;
	return {
		requests, othersRefused, meanConcurrent, crashesOfBad: [...crashesOfBad.values()].slice(0, -1),
	};
}

describe('createCrashEvidence with a crash every half second and 20 to 40 other requests in flight', () => {
	let clock: FakeTimers.Clock;

	beforeEach(() => {
		clock = FakeTimers.install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	const simulate = (seed: number) => simulateLoad(seed, clock);

	for (const seed of seeds) {
		it(`finds each cause at its third crash, and at most one other request in 2,000 (seed ${seed})`, () => {
			const {requests, othersRefused, meanConcurrent, crashesOfBad} = simulate(seed);
			assert.isAbove(requests, 15_000);
			assert.isAtLeast(meanConcurrent, 20);
			assert.isAtMost(meanConcurrent, 40);
			assert.isAtLeast(crashesOfBad.length, 60);
			assert.deepEqual(new Set(crashesOfBad), new Set([3]));
			assert.isAtMost(othersRefused, requests / 2000);
		});
	}
});
